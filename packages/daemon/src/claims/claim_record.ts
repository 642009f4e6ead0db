import {Schema} from 'effect';

/** How far the work under an idempotency key has come. */
export enum ClaimState {
  /** A daemon holds the claim and may have dispatched. */
  CLAIMED = 'claimed',
  /** The holder dispatched nothing and never will; the key is free again. */
  RELEASED = 'released',
  /** The answer is recorded. */
  DONE = 'done',
  /** The work ran; its answer was too large to be recorded. */
  DONE_NOT_KEPT = 'done-not-kept',
  /** The work may have run; nobody knows its answer. */
  UNKNOWN = 'unknown',
}

/** One row of the table service for each idempotency key. */
export const ClaimRecordSchema = Schema.Struct({
  /** Attempt that holds the claim. */
  token: Schema.NonEmptyString,
  /** SHA-256 of method, path and body. */
  requestDigest: Schema.NonEmptyString,
  state: Schema.Enum(ClaimState),
  claimedAtMs: Schema.Int,
  /** Status of the recorded answer; 0 before there is one. */
  status: Schema.Int,
  contentType: Schema.String,
  /** Body of the recorded answer, in base64. */
  body: Schema.String,
});

/** Decoded form of {@link ClaimRecordSchema}. */
export type ClaimRecord = typeof ClaimRecordSchema.Type;
