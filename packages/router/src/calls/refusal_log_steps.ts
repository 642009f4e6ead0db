import assert from 'node:assert/strict';
import {After, Then, When, World} from '@cucumber/cucumber';
import {Logger} from '@greengagecross/common';
import {CallOutcome} from './call_answer.js';
import {RefusalLog} from './refusal_log.js';

const FURTHER = 'Further requests were refused.';

/** A log line as far as it matters here. */
interface RefusalLine {
  readonly sentence: string;
  readonly outcome: string;
  readonly count?: number;
}

/** World with one log of refusals and the lines that it wrote. */
interface RefusalWorld extends World {
  refusalLog: RefusalLog | undefined;
  refusalTexts: string[];
  madeFields: number;
}

function startLog(world: RefusalWorld): RefusalLog {
  if (world.refusalLog !== undefined) return world.refusalLog;
  world.refusalTexts = [];
  world.madeFields = 0;
  Logger.setSink(text => world.refusalTexts.push(text));
  return (world.refusalLog = new RefusalLog());
}

function listLines(world: RefusalWorld): RefusalLine[] {
  return world.refusalTexts.map(text => JSON.parse(text) as RefusalLine);
}

function countLines(world: RefusalWorld, outcome: string): number {
  return listLines(world).filter(
    line => line.outcome === outcome && line.sentence !== FURTHER,
  ).length;
}

When(
  '{int} requests are refused as {string} and {int} as {string} at {int} ms',
  function (
    this: RefusalWorld,
    firstCount: number,
    first: string,
    secondCount: number,
    second: string,
    nowMs: number,
  ) {
    const log = startLog(this);
    const makeFields = (): object => ({at: (this.madeFields += 1)});
    const outcomes = [
      ...new Array<string>(firstCount).fill(first),
      ...new Array<string>(secondCount).fill(second),
    ];
    for (const outcome of outcomes) {
      log.record(outcome as CallOutcome, nowMs, () => ({...makeFields()}));
    }
  },
);

When('a second ends for the log of refusals', function (this: RefusalWorld) {
  startLog(this).update(1000);
});

When(
  'a refusal is logged for a request with an id of {int} characters',
  function (this: RefusalWorld, length: number) {
    startLog(this).record(CallOutcome.UNKNOWN_KEY, 0, () => ({
      request: 'a'.repeat(length),
    }));
  },
);

Then(
  '{int} lines name {string} and {int} name {string}',
  function (
    this: RefusalWorld,
    firstCount: number,
    first: string,
    secondCount: number,
    second: string,
  ) {
    assert.equal(countLines(this, first), firstCount);
    assert.equal(countLines(this, second), secondCount);
  },
);

Then(
  'the fields of {int} refusals were made',
  function (this: RefusalWorld, count: number) {
    assert.equal(this.madeFields, count);
  },
);

Then(
  'a line says that {int} further requests were refused as {string}',
  function (this: RefusalWorld, count: number, outcome: string) {
    const lines = listLines(this).filter(line => line.sentence === FURTHER);
    assert.deepEqual(
      lines.map(line => [line.outcome, line.count]),
      [[outcome, count]],
    );
  },
);

Then(
  'its line has less than {int} characters',
  function (this: RefusalWorld, most: number) {
    const [text = ''] = this.refusalTexts;
    assert.ok(text.length > 0 && text.length < most, `${text.length}`);
  },
);

After(function (this: RefusalWorld) {
  if (this.refusalLog !== undefined) Logger.setSink(undefined);
});
