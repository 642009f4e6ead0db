import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {Deferred, Effect, Exit, Fiber} from 'effect';
import {Outcome, OutcomeReason, type Customer} from '@greengagecross/common';
import {SmallLimitPolicy, DaemonShareLimiter} from '@greengagecross/decisions';
import {CustomerRequestLimiter} from './customer_request_limiter.js';
import type {Refusal} from './refusal.js';

/** Fixture of one customer whose requests reach one daemon. */
interface LimitedWorld extends World {
  limiter: CustomerRequestLimiter;
  customer: Customer;
  /** Number of requests that have run. */
  runCount: number;
  refusals: Refusal[];
}

Given(
  'a customer limited to {int} requests in flight on {int} daemons',
  function (this: LimitedWorld, maxInFlight: number, daemons: number) {
    this.customer = {id: 'customer', maxInFlight} as Customer;
    const limit = new DaemonShareLimiter(SmallLimitPolicy.ROUND_UP);
    this.limiter = new CustomerRequestLimiter(limit, () => daemons);
  },
);

When(
  '{int} of its requests reach one daemon and the first {int} end immediately',
  async function (this: LimitedWorld, sent: number, ended: number) {
    const {limiter, customer} = this;
    this.runCount = 0;
    this.refusals = [];
    const program = Effect.gen({self: this}, function* () {
      const ending = yield* Deferred.make<void>();
      const fibers: Fiber.Fiber<Exit.Exit<void, Refusal>>[] = [];
      for (let index = 0; index < sent; index += 1) {
        const request = Effect.andThen(
          Effect.sync(() => {
            this.runCount += 1;
          }),
          index < ended ? Effect.void : Deferred.await(ending),
        );
        const running = Effect.exit(limiter.run(customer, request));
        fibers.push(yield* Effect.forkChild(running));
        // Lets the request start or be refused before the next arrives.
        yield* Effect.yieldNow;
      }
      yield* Deferred.succeed(ending, undefined);
      return yield* Effect.forEach(fibers, Fiber.join);
    });
    for (const exit of await Effect.runPromise(program)) {
      if (Exit.isSuccess(exit)) continue;
      const [reason] = exit.cause.reasons;
      assert.ok(reason?._tag === 'Fail');
      this.refusals.push(reason.error);
    }
  },
);

Then(
  '{int} of them run and {int} are refused as not-run with the reason customer-limit',
  function (this: LimitedWorld, run: number, refused: number) {
    assert.equal(this.runCount, run);
    assert.equal(this.refusals.length, refused);
    for (const refusal of this.refusals) {
      assert.equal(refusal.outcome, Outcome.NOT_RUN);
      assert.equal(refusal.reason, OutcomeReason.CUSTOMER_LIMIT);
      assert.ok((refusal.retryAfterMs ?? 0) > 0);
    }
  },
);
