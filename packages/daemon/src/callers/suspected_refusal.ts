import {Outcome, OutcomeReason} from '@greengagecross/common';
import {makeNotRun, Refusal} from './refusal.js';

/** Status on which HTTP client libraries do not retry. */
const NO_RETRY_STATUS = 422;

/**
 * Refuses a condemned request: backend servers crashed while they ran it, and
 * it must not run again.
 *
 * @param mayHaveRun whether an attempt of this same request may have run.
 */
export function makeSuspectedRefusal(mayHaveRun: boolean): Refusal {
  if (!mayHaveRun) {
    return makeNotRun(
      OutcomeReason.SUSPECTED,
      NO_RETRY_STATUS,
      'this attempt was not run: backend servers crashed while they ran this' +
        ' request; do not send it again',
    );
  }
  return new Refusal(
    Outcome.FAILED,
    OutcomeReason.SUSPECTED,
    NO_RETRY_STATUS,
    'backend servers crashed while they ran this request; do not send it again',
  );
}
