import {Schema} from 'effect';

/** State of the work under an idempotency key. */
export enum ClaimState {
  /** An attempt holds the claim and may have dispatched the call. */
  CLAIMED = 'claimed',
  /** The holder did not and will not dispatch; the key is free again. */
  RELEASED = 'released',
  /** The answer is recorded. */
  DONE = 'done',
  /** The work ran; its answer was too large to be recorded. */
  DONE_NOT_KEPT = 'done-not-kept',
  /** The work may have run; its answer was lost. */
  UNKNOWN = 'unknown',
}

/** Value of a claim's row in the table service; one row per key. */
export const ClaimRecordSchema = Schema.Struct({
  /** Id of the attempt that made the claim. */
  token: Schema.NonEmptyString,
  /** SHA-256 over the method, the path and the digest of the body. */
  requestDigest: Schema.NonEmptyString,
  state: Schema.Enum(ClaimState),
  claimedAtMs: Schema.Int,
  /** HTTP status of the recorded answer; 0 while no answer is recorded. */
  status: Schema.Int,
  contentType: Schema.String,
  /** Body of the recorded answer, in base64. */
  body: Schema.String,
});

/** Decoded form of {@link ClaimRecordSchema}. */
export type ClaimRecord = typeof ClaimRecordSchema.Type;
