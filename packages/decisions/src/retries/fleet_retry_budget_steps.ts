import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {FleetRetryBudget, type RetryBounds} from './fleet_retry_budget.js';

const STEP_MS = 10;
const SERVICE = 's';

/** State of one scenario about the fleet's retry budget. */
interface BudgetWorld extends World {
  bounds: RetryBounds;
  firsts: number[];
  retries: number[];
}

Given(
  'a fleet budget of {float} of the first tries plus {int} in {int} s',
  function (this: BudgetWorld, ratio: number, slack: number, seconds: number) {
    this.bounds = {ratio, slack, windowMs: seconds * 1000};
    this.firsts = [];
    this.retries = [];
  },
);

When(
  '{int} daemons get {int} requests a second for {int} s and each fails twice',
  function (this: BudgetWorld, daemons: number, rate: number, seconds: number) {
    const budgets = Array.from(
      {length: daemons},
      () => new FleetRetryBudget(this.bounds),
    );
    let due = 0;
    let next = 0;
    for (let nowMs = 0; nowMs < seconds * 1000; nowMs += STEP_MS) {
      for (due += (rate * STEP_MS) / 1000; due >= 1; due -= 1) {
        const budget = budgets[next % daemons];
        next += 1;
        budget?.recordFirstTry(SERVICE, nowMs);
        this.firsts.push(nowMs);
        for (let retry = 0; retry < 2; retry += 1) {
          if (budget?.take(SERVICE, daemons, nowMs)) this.retries.push(nowMs);
        }
      }
    }
  },
);

When(
  '1 of {int} daemons gets {int} failing requests in its first second',
  function (this: BudgetWorld, daemons: number, count: number) {
    const budget = new FleetRetryBudget(this.bounds);
    for (let at = 0; at < count; at += 1) {
      const nowMs = (at * 1000) / count;
      budget.recordFirstTry(SERVICE, nowMs);
      if (budget.take(SERVICE, daemons, nowMs)) this.retries.push(nowMs);
    }
  },
);

Then(
  'in every {int} s all daemons together retried at most {float} of the requests plus {int}',
  function (this: BudgetWorld, seconds: number, ratio: number, slack: number) {
    const windowMs = seconds * 1000;
    const count = (times: number[], fromMs: number): number =>
      times.filter(at => at >= fromMs && at < fromMs + windowMs).length;
    for (let fromMs = -windowMs; fromMs < 40_000; fromMs += 100) {
      const allowed = ratio * count(this.firsts, fromMs) + slack;
      const made = count(this.retries, fromMs);
      assert.ok(made <= allowed, `${made} > ${allowed} from ${fromMs}`);
    }
  },
);

Then(
  'the daemon retried at least {int} of them',
  function (this: BudgetWorld, least: number) {
    assert.ok(this.retries.length >= least, `${this.retries.length}`);
  },
);
