import {LayerError, Outcome, RefusalReason} from '@greengagecross/common';

/** A request that ends without a complete answer, as reported to its caller. */
export class Refusal extends LayerError {
  constructor(
    readonly outcome: Outcome,
    readonly reason: RefusalReason,
    readonly status: number,
    message: string,
    /** Delay before a retry, in milliseconds; undefined if no retry helps. */
    readonly retryAfterMs?: number,
  ) {
    super('Refusal', message, {outcome, reason, status});
  }
}

/** Makes the refusal of a request that no backend server has run. */
export function makeNotRun(
  reason: RefusalReason,
  status: number,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return new Refusal(Outcome.NOT_RUN, reason, status, message, retryAfterMs);
}

/** Makes the refusal of a request that is aborted by the daemon's stop. */
export function makeStoppingRefusal(): Refusal {
  return new Refusal(
    Outcome.UNKNOWN,
    RefusalReason.STOPPING,
    503,
    'this daemon had to stop before the request ended',
  );
}
