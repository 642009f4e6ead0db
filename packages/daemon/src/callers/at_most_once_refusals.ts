import {Outcome, OutcomeReason} from '@greengagecross/common';
import {makeNotRun, Refusal} from './refusal.js';

// In the messages to callers, an attempt is one request with the key; it may be
// sent to several workers.

const RETRY_AFTER_MS = 1000;

/** Refuses a non-repeatable call without an idempotency key. */
export function makeKeyRequired(): Refusal {
  return makeNotRun(
    OutcomeReason.KEY_REQUIRED,
    400,
    'this call may not be repeated and needs an Idempotency-Key header',
  );
}

/** Refuses a key without a timestamp or with one too far in the future. */
export function makeKeyMalformed(): Refusal {
  return makeNotRun(
    OutcomeReason.KEY_MALFORMED,
    400,
    'an idempotency key must be a version 7 UUID made when the work began',
  );
}

/** Refuses a key whose claim may have been deleted. */
export function makeKeyExpired(): Refusal {
  return makeNotRun(
    OutcomeReason.KEY_EXPIRED,
    409,
    'this attempt was not run: its idempotency key is older than 24 hours;' +
      ' an earlier attempt with this key may have run',
  );
}

/** Refuses a key that the customer used for a different request. */
export function makeKeyReused(): Refusal {
  return makeNotRun(
    OutcomeReason.KEY_REUSED,
    422,
    'this idempotency key was used for another request',
  );
}

/**
 * Refuses a key whose call may have run, or may still run, for an earlier
 * request. A retry helps only while that request is in flight: a claim whose
 * state is unknown stays unknown.
 */
export function makeKeyInUse(): Refusal {
  return new Refusal(
    Outcome.UNKNOWN,
    OutcomeReason.KEY_IN_USE,
    409,
    'an earlier attempt with this key may have run or may still run',
    RETRY_AFTER_MS,
  );
}

/** Refuses a key whose call has run but whose answer was not recorded. */
export function makeAnswerNotKept(): Refusal {
  return new Refusal(
    Outcome.FAILED,
    OutcomeReason.ANSWER_NOT_KEPT,
    409,
    'an earlier attempt with this key has run; its answer was not kept',
  );
}

/** Refuses a call whose claim could not be recorded. */
export function makePlatformDown(): Refusal {
  return makeNotRun(
    OutcomeReason.PLATFORM_DOWN,
    503,
    'this attempt was not run: its claim could not be recorded;' +
      ' an earlier attempt with this key may have run',
    RETRY_AFTER_MS,
  );
}

/** Refuses a call whose deadline had passed once its claim was recorded. */
export function makeClaimDeadlineExceeded(): Refusal {
  return makeNotRun(
    OutcomeReason.DEADLINE,
    504,
    'this attempt was not run: its deadline passed before its claim stood',
  );
}

/** Refuses a call that no worker accepted, or that has no worker to run it. */
export function makeNoWorker(): Refusal {
  return makeNotRun(
    OutcomeReason.NO_BACKEND,
    503,
    'no worker could take the call',
    RETRY_AFTER_MS,
  );
}

/** Reports a call that was sent but got no valid answer. */
export function makeOutcomeUnknown(): Refusal {
  return new Refusal(
    Outcome.UNKNOWN,
    OutcomeReason.BACKEND_FAILED,
    502,
    'the call may have run; its answer was lost',
  );
}
