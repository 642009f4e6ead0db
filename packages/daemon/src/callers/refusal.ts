import {LayerError, Outcome, RefusalReason} from '@greengagecross/common';

/** A request that ends without a whole answer, as its caller is told. */
export class Refusal extends LayerError {
  constructor(
    readonly outcome: Outcome,
    readonly reason: RefusalReason,
    readonly status: number,
    message: string,
    /** When to try again, in milliseconds, if that may help. */
    readonly retryAfterMs?: number,
  ) {
    super('Refusal', message, {outcome, reason, status});
  }
}

/** Makes the refusal of a request of which no byte left for a backend server. */
export function makeNotRun(
  reason: RefusalReason,
  status: number,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return new Refusal(Outcome.NOT_RUN, reason, status, message, retryAfterMs);
}

/** Makes the refusal of a request that this daemon's stop ends. */
export function makeCut(): Refusal {
  return new Refusal(
    Outcome.UNKNOWN,
    RefusalReason.STOPPING,
    503,
    'this daemon had to stop before the request ended',
  );
}
