import {Effect} from 'effect';
import {OutcomeReason, type Customer} from '@greengagecross/common';
import type {DaemonShareLimiter} from '@greengagecross/decisions';
import {makeNotRun, type Refusal} from './refusal.js';

const RETRY_AFTER_MS = 1000;

/** Limits the requests of each customer that are in flight on this daemon. */
export class CustomerRequestLimiter {
  /**
   * @param countDaemons counts the live daemons, among which the limit of every
   *     customer is divided.
   */
  constructor(
    private readonly limit: DaemonShareLimiter,
    private readonly countDaemons: () => number,
  ) {}

  /**
   * Runs a request, or refuses it as not-run when this daemon's share of the
   * customer's limit is in use.
   */
  run(
    {id, maxInFlight}: Customer,
    request: Effect.Effect<void, Refusal>,
  ): Effect.Effect<void, Refusal> {
    return Effect.acquireUseRelease(
      Effect.sync(() =>
        this.limit.acquire(id, maxInFlight, this.countDaemons()),
      ),
      isAdmitted => (isAdmitted ? request : Effect.fail(makeLimitRefusal())),
      isAdmitted =>
        Effect.sync(() => {
          if (isAdmitted) this.limit.release(id);
        }),
    );
  }
}

function makeLimitRefusal(): Refusal {
  return makeNotRun(
    OutcomeReason.CUSTOMER_LIMIT,
    429,
    'the customer is at its limit',
    RETRY_AFTER_MS,
  );
}
