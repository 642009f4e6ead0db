import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {FleetRetryBudget} from '../retries/fleet_retry_budget.js';
import {FleetSize} from './fleet_size.js';

const SAMPLE_MS = 500;

interface FleetSizeWorld {
  size: FleetSize;
  assumed: number;
  nowMs: number;
  /** Sizes as assumed by each of several daemons. */
  sizes: FleetSize[];
  slack: number;
  retries: number;
}

function recordFor(
  size: FleetSize,
  daemons: number,
  fromMs: number,
  ms: number,
): number {
  let assumed = 0;
  for (let atMs = fromMs; atMs <= fromMs + ms; atMs += SAMPLE_MS) {
    assumed = size.update(daemons, atMs);
  }
  return assumed;
}

Given(
  'a daemon that hears {int} daemons, itself included, for {int} s',
  function (this: FleetSizeWorld, daemons: number, seconds: number) {
    this.size = new FleetSize();
    recordFor(this.size, daemons, 0, seconds * 1000);
    this.nowMs = seconds * 1000;
  },
);

When(
  'it hears {int} daemons for {int} s',
  function (this: FleetSizeWorld, daemons: number, seconds: number) {
    const ms = seconds * 1000;
    this.assumed = recordFor(this.size, daemons, this.nowMs, ms);
  },
);

Then(
  'it assumes a fleet of {int} daemons',
  function (this: FleetSizeWorld, daemons: number) {
    assert.equal(this.assumed, daemons);
  },
);

Given(
  'a fleet retry budget of {int} in 10 s, whatever the number of requests',
  function (this: FleetSizeWorld, slack: number) {
    this.slack = slack;
  },
);

When(
  '{int} daemons hear each other for {int} s, and then none hears another for {int} s',
  function (
    this: FleetSizeWorld,
    daemons: number,
    before: number,
    parted: number,
  ) {
    this.sizes = Array.from({length: daemons}, () => new FleetSize());
    this.nowMs = (before + parted) * 1000;
    for (const size of this.sizes) {
      recordFor(size, daemons, 0, before * 1000);
      recordFor(size, 1, before * 1000, parted * 1000);
    }
  },
);

When(
  'each of the parted daemons retries as often as its share allows',
  function (this: FleetSizeWorld) {
    this.retries = 0;
    for (const size of this.sizes) {
      const budget = new FleetRetryBudget({
        ratio: 0,
        slack: this.slack,
        windowMs: 10_000,
      });
      const daemons = size.update(1, this.nowMs);
      while (budget.take('service', daemons, this.nowMs)) this.retries += 1;
    }
  },
);

Then(
  'all of them together made at most {int} retries',
  function (this: FleetSizeWorld, limit: number) {
    assert.ok(this.retries <= limit, `${this.retries} retries`);
    assert.ok(this.retries > 0);
  },
);
