import {LayerError, Outcome, OutcomeReason} from '@greengagecross/common';

/**
 * Report to a caller that its request ended without a complete answer, because
 * it was refused, failed or has an unknown outcome.
 */
export class Refusal extends LayerError {
  constructor(
    readonly outcome: Outcome,
    readonly reason: OutcomeReason,
    readonly status: number,
    message: string,
    /** Delay to suggest before a retry, in ms; undefined if none is suggested. */
    readonly retryAfterMs?: number,
  ) {
    super('Refusal', message, {outcome, reason, status});
  }
}

/** Makes the refusal of a request that no backend server has run. */
export function makeNotRun(
  reason: OutcomeReason,
  status: number,
  message: string,
  retryAfterMs?: number,
): Refusal {
  return new Refusal(Outcome.NOT_RUN, reason, status, message, retryAfterMs);
}

/** Makes the refusal of a request that the stop of the daemon aborted. */
export function makeStoppingRefusal(): Refusal {
  return new Refusal(
    Outcome.UNKNOWN,
    OutcomeReason.STOPPING,
    503,
    'this daemon had to stop before the request ended',
  );
}
