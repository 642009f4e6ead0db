import {Effect} from 'effect';
import {RefusalReason, type Customer} from '@greengagecross/common';
import type {CustomerLimit} from '@greengagecross/decisions';
import {makeNotRun, type Refusal} from './refusal.js';

const LIMIT_RETRY_MS = 1000;

/** Runs customers' requests while they are within their limit. */
export class LimitedCustomers {
  /** @param countDaemons counts the live daemons that share each limit. */
  constructor(
    private readonly limit: CustomerLimit,
    private readonly countDaemons: () => number,
  ) {}

  /** Runs one request, or refuses it as not-run at the customer's limit. */
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
    RefusalReason.CUSTOMER_LIMIT,
    429,
    'the customer is at its limit',
    LIMIT_RETRY_MS,
  );
}
