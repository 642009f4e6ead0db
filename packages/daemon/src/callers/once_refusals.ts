import {Outcome, RefusalReason} from '@greengagecross/common';
import {makeNotRun, Refusal} from './refusal.js';

const RETRY_MS = 1000;

/** Refuses a non-repeatable call without a key. */
export function makeKeyRequired(): Refusal {
  return makeNotRun(
    RefusalReason.KEY_REQUIRED,
    400,
    'this call may not be repeated and needs an Idempotency-Key header',
  );
}

/** Refuses a key that bears no time, or one far ahead. */
export function makeKeyMalformed(): Refusal {
  return makeNotRun(
    RefusalReason.KEY_MALFORMED,
    400,
    'an idempotency key must be a version 7 UUID made when the work began',
  );
}

/** Refuses a key whose record may be gone. */
export function makeKeyExpired(): Refusal {
  return makeNotRun(
    RefusalReason.KEY_EXPIRED,
    409,
    'this attempt was not run: its idempotency key is older than 24 hours;' +
      ' an earlier attempt with this key may have run',
  );
}

/** Refuses a key that another request of the customer has. */
export function makeKeyReused(): Refusal {
  return makeNotRun(
    RefusalReason.KEY_REUSED,
    422,
    'this idempotency key was used for another request',
  );
}

/** Tells that an earlier attempt holds the key. */
export function makeKeyInUse(): Refusal {
  return new Refusal(
    Outcome.UNKNOWN,
    RefusalReason.KEY_IN_USE,
    409,
    'an earlier attempt with this key may have run or may still run',
    RETRY_MS,
  );
}

/** Tells that the work ran and that its answer is gone. */
export function makeAnswerNotKept(): Refusal {
  return new Refusal(
    Outcome.FAILED,
    RefusalReason.ANSWER_NOT_KEPT,
    409,
    'an earlier attempt with this key has run; its answer was not kept',
  );
}

/** Refuses what cannot be claimed. */
export function makePlatformDown(): Refusal {
  return makeNotRun(
    RefusalReason.PLATFORM_DOWN,
    503,
    'this attempt was not run: its claim could not be recorded;' +
      ' an earlier attempt with this key may have run',
    RETRY_MS,
  );
}

/** Refuses what was claimed after its caller stopped waiting. */
export function makeDeadlinePassed(): Refusal {
  return makeNotRun(
    RefusalReason.DEADLINE,
    504,
    'this attempt was not run: its deadline passed before its claim stood',
  );
}

/** Refuses what no worker has taken. */
export function makeNoWorker(): Refusal {
  return makeNotRun(
    RefusalReason.NO_BACKEND,
    503,
    'no worker could take the call',
    RETRY_MS,
  );
}

/** Tells that the call left and no answer came. */
export function makeOutcomeUnknown(): Refusal {
  return new Refusal(
    Outcome.UNKNOWN,
    RefusalReason.BACKEND_FAILED,
    502,
    'the call may have run; its answer was lost',
  );
}
