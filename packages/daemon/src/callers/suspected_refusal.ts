import {Outcome, RefusalReason} from '@greengagecross/common';
import {makeNotRun, Refusal} from './refusal.js';

/** A status that callers' libraries do not take for a reason to try again. */
const STATUS = 422;

/** Refuses a request under which backend servers crashed. */
export function makeSuspected(mayHaveRun: boolean): Refusal {
  if (!mayHaveRun) {
    return makeNotRun(
      RefusalReason.SUSPECTED,
      STATUS,
      'this attempt was not run: backend servers crashed while they ran this' +
        ' request; do not send it again',
    );
  }
  return new Refusal(
    Outcome.FAILED,
    RefusalReason.SUSPECTED,
    STATUS,
    'backend servers crashed while they ran this request; do not send it again',
  );
}
