import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {SeededRandom} from '@greengagecross/common';
import {RequestDeadline} from './request_deadline.js';
import {RetryBudget} from './retry_budget.js';
import {AttemptCost, BudgetedRetryPolicy} from './retry_policy.js';

const SEED = 11;
const AMPLE_TIME_MS = 10_000;

/** Fixture of the retry policy and deadline scenarios. */
interface RetryWorld extends World {
  policy: BudgetedRetryPolicy;
  /** Last decision of the policy; undefined for no retry. */
  waitMs: number | undefined;
  /** Retries made, by service. */
  retriesByService: Map<string, number>;
  deadline: RequestDeadline;
}

/** Runs one request whose attempts all fail; counts its retries. */
function runFailing(world: RetryWorld, service: string): void {
  world.policy.recordFirstTry(service);
  for (let attempts = 1; ; attempts += 1) {
    const cost = AttemptCost.LOAD;
    const failed = {service, attempts, cost, remainingMs: AMPLE_TIME_MS};
    if (world.policy.chooseWaitMs(failed) === undefined) return;
    world.retriesByService.set(
      service,
      (world.retriesByService.get(service) ?? 0) + 1,
    );
  }
}

function countRetries(world: RetryWorld): number {
  return [...world.retriesByService.values()].reduce((a, b) => a + b, 0);
}

Given('a retry policy with a full budget', function (this: RetryWorld) {
  this.retriesByService = new Map();
  const random = new SeededRandom(SEED);
  this.policy = new BudgetedRetryPolicy(new RetryBudget(), random);
});

When(
  'attempt {int} of a request failed {word} reaching its server, with {int} ms left',
  function (
    this: RetryWorld,
    attempts: number,
    when: string,
    remainingMs: number,
  ) {
    this.waitMs = this.policy.chooseWaitMs({
      service: 'a',
      attempts,
      cost: when === 'before' ? AttemptCost.NONE : AttemptCost.LOAD,
      remainingMs,
    });
  },
);

Then('the retry decision is no retry', function (this: RetryWorld) {
  assert.equal(this.waitMs, undefined);
});

Then('the retry decision is no wait', function (this: RetryWorld) {
  assert.equal(this.waitMs, 0);
});

Then(
  'the retry decision is a wait under {int} ms',
  function (this: RetryWorld, limitMs: number) {
    assert.ok(this.waitMs !== undefined && this.waitMs > 0);
    assert.ok(this.waitMs < limitMs, `${this.waitMs}`);
  },
);

Then(
  'over {int} failures with {int} ms left no wait reaches {int} ms',
  function (
    this: RetryWorld,
    failures: number,
    remainingMs: number,
    endMs: number,
  ) {
    let waits = 0;
    for (let count = 0; count < failures; count += 1) {
      this.policy.recordFirstTry('a');
      const cost = AttemptCost.LOAD;
      const failed = {service: 'a', attempts: 1, cost, remainingMs};
      const waitMs = this.policy.chooseWaitMs(failed);
      if (waitMs === undefined) continue;
      waits += 1;
      assert.ok(waitMs < endMs, `${waitMs}`);
    }
    assert.ok(waits > 0);
  },
);

When(
  '{int} requests over {int} services all fail',
  function (this: RetryWorld, requests: number, services: number) {
    for (let count = 0; count < requests; count += 1) {
      runFailing(this, `service-${count % services}`);
    }
  },
);

Then(
  'at most {int} retries were made',
  function (this: RetryWorld, most: number) {
    const made = countRetries(this);
    assert.ok(made <= most, `${made} retries`);
    assert.ok(made > 0);
  },
);

When(
  'service {string} fails every time while service {string} gets 9 successful requests and one failing for each',
  function (this: RetryWorld, failing: string, other: string) {
    for (let count = 0; count < 1000; count += 1) {
      runFailing(this, failing);
      for (let sent = 0; sent < 9; sent += 1) {
        this.policy.recordFirstTry(other);
        if (sent === 0) runFailing(this, other);
      }
    }
  },
);

Then(
  'service {string} still gets at least 8 retries per 100 first attempts',
  function (this: RetryWorld, service: string) {
    const made = this.retriesByService.get(service) ?? 0;
    assert.ok(made >= 10_000 * 0.08, `${made} retries`);
  },
);

When(
  'a caller sends a deadline of {string} to a service that allows {int} ms',
  function (this: RetryWorld, sent: string, maxMs: number) {
    const text = sent === '' ? undefined : sent;
    this.deadline = RequestDeadline.make(text, maxMs, 0);
  },
);

Then(
  'after {int} ms the deadline leaves {int} ms',
  function (this: RetryWorld, afterMs: number, remainingMs: number) {
    assert.equal(this.deadline.computeRemainingMs(afterMs), remainingMs);
  },
);
