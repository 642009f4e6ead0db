import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {FleetRetryBudget, type RetryLimits} from './fleet_retry_budget.js';

const TICK_MS = 10;
const SERVICE = 's';

/** Fixture of the fleet retry budget scenarios. */
interface BudgetWorld extends World {
  limits: RetryLimits;
  /** Time of each first attempt at any daemon. */
  firstTryMs: number[];
  /** Time of each retry that any daemon was allowed. */
  retryMs: number[];
}

Given(
  'a fleet retry budget of {float} per first attempt plus {int} in {int} s',
  function (this: BudgetWorld, ratio: number, slack: number, seconds: number) {
    this.limits = {ratio, slack, windowMs: seconds * 1000};
    this.firstTryMs = [];
    this.retryMs = [];
  },
);

When(
  '{int} daemons get {int} requests a second for {int} s and each asks for two retries',
  function (this: BudgetWorld, daemons: number, rate: number, seconds: number) {
    const budgets = Array.from(
      {length: daemons},
      () => new FleetRetryBudget(this.limits),
    );
    let due = 0;
    let next = 0;
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += TICK_MS) {
      for (due += (rate * TICK_MS) / 1000; due >= 1; due -= 1) {
        const budget = budgets[next % daemons];
        next += 1;
        budget?.recordFirstTry(SERVICE, nowMs);
        this.firstTryMs.push(nowMs);
        for (let retry = 0; retry < 2; retry += 1) {
          if (budget?.take(SERVICE, daemons, nowMs)) this.retryMs.push(nowMs);
        }
      }
    }
  },
);

When(
  '1 of {int} daemons gets {int} failing requests in its first second',
  function (this: BudgetWorld, daemons: number, count: number) {
    const budget = new FleetRetryBudget(this.limits);
    for (let at = 0; at < count; at += 1) {
      const nowMs = (at * 1000) / count;
      budget.recordFirstTry(SERVICE, nowMs);
      if (budget.take(SERVICE, daemons, nowMs)) this.retryMs.push(nowMs);
    }
  },
);

Then(
  'in every window of {int} s all daemons together made at most {float} retries per request plus {int}',
  function (this: BudgetWorld, seconds: number, ratio: number, slack: number) {
    const windowMs = seconds * 1000;
    const count = (times: number[], fromMs: number): number =>
      times.filter(at => at >= fromMs && at < fromMs + windowMs).length;
    for (let fromMs = -windowMs; fromMs < 40_000; fromMs += 100) {
      const allowed = ratio * count(this.firstTryMs, fromMs) + slack;
      const made = count(this.retryMs, fromMs);
      assert.ok(made <= allowed, `${made} > ${allowed} from ${fromMs}`);
    }
  },
);

Then(
  'the daemon retried at least {int} of these requests',
  function (this: BudgetWorld, least: number) {
    assert.ok(this.retryMs.length >= least, `${this.retryMs.length}`);
  },
);
