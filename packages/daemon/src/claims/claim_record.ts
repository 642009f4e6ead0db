import {Schema} from 'effect';

/** State of the call that an idempotency key identifies. */
export enum ClaimState {
  /** A request holds the claim and may have dispatched the call. */
  CLAIMED = 'claimed',
  /** The request did not and will not dispatch the call; the key is free. */
  RELEASED = 'released',
  /** The answer is recorded. */
  DONE = 'done',
  /** The call ran; its answer was too large to be recorded. */
  DONE_NOT_KEPT = 'done-not-kept',
  /** The call may have run; no valid reply was received. */
  UNKNOWN = 'unknown',
}

/**
 * Value of a claim's row in the table service. There is one row for each
 * customer, service and idempotency key.
 */
export const ClaimRecordSchema = Schema.Struct({
  /** Id of the request that made the claim. */
  token: Schema.NonEmptyString,
  /** SHA-256 over the method, the path and the digest of the body. */
  requestDigest: Schema.NonEmptyString,
  state: Schema.Enum(ClaimState),
  /** Milliseconds since the epoch. */
  claimedAtMs: Schema.Int,
  /** HTTP status of the recorded answer; 0 while no answer is recorded. */
  status: Schema.Int,
  contentType: Schema.String,
  /** Body of the recorded answer, in base64. */
  body: Schema.String,
});

/** Decoded form of {@link ClaimRecordSchema}. */
export type ClaimRecord = typeof ClaimRecordSchema.Type;
