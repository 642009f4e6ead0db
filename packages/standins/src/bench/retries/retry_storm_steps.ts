import assert from 'node:assert/strict';
import {Then, When, World} from '@cucumber/cucumber';
import {RetryStorm} from './retry_storm.js';
import type {RetryStrategy} from './retry_ways.js';
import type {StormRecord} from './storm_record.js';

const SEED = 7;

/** Fixture of the retry storm scenarios: the record of the simulation. */
interface StormWorld extends World {
  storm: StormRecord;
}

function checkBound(value: number, bound: string, limit: number): void {
  const isKept = bound === 'at least' ? value >= limit : value <= limit;
  assert.ok(isKept, `${value} is not ${bound} ${limit}`);
}

When(
  'a retry storm runs at {int} daemons and {int} engines with {word}',
  function (
    this: StormWorld,
    daemons: number,
    engines: number,
    strategy: string,
  ) {
    const size = {daemons, engines};
    this.storm = new RetryStorm(strategy as RetryStrategy, size, SEED).run();
  },
);

Then(
  /^its offered load is (at most|at least) ([\d.]+) and it recovers in (under|at least) (\d+) s$/,
  function (
    this: StormWorld,
    loadBound: string,
    load: string,
    recoveryBound: string,
    seconds: string,
  ) {
    checkBound(this.storm.computeOfferedLoad(), loadBound, Number(load));
    const recovery = this.storm.computeRecoverySeconds();
    checkBound(recovery, recoveryBound, Number(seconds));
  },
);
