import {Schema} from 'effect';
import {SuspectState} from '@greengagecross/common';

/** Most suspects in one message. */
export const MAX_SUSPECTS_A_CALL = 4096;

const SuspectSchema = Schema.Struct({
  fingerprint: Schema.NonEmptyString,
  state: Schema.Enum(SuspectState),
  /** Time since the state was last confirmed, in milliseconds. */
  ageMs: Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
});

/** What a daemon tells another about one request. */
export type ToldSuspect = typeof SuspectSchema.Type;

/** Parameters of {@link PeerMethod.TELL_SUSPECTS}. */
export const SuspectsSchema = Schema.Struct({
  suspects: Schema.Array(SuspectSchema).check(
    Schema.isMaxLength(MAX_SUSPECTS_A_CALL),
  ),
});

/** Parameters of {@link PeerMethod.FETCH_SUSPECTS}. */
export const FetchSuspectsSchema = Schema.Struct({});

/** Parameters of {@link PeerMethod.ACQUIRE_TRIAL}. */
export const AcquireTrialSchema = Schema.Struct({
  fingerprint: Schema.NonEmptyString,
  backend: Schema.NonEmptyString,
  /** Daemon that runs the trial. */
  holder: Schema.NonEmptyString,
  attemptId: Schema.NonEmptyString,
  /** How long it may run, in milliseconds. */
  leaseMs: Schema.Int,
});

/** Decoded form of {@link AcquireTrialSchema}. */
export type AcquireTrial = typeof AcquireTrialSchema.Type;

/** Result of {@link PeerMethod.ACQUIRE_TRIAL}. */
export const TrialAnswerSchema = Schema.Struct({
  granted: Schema.Boolean,
  /** What the answerer holds against the request, if anything. */
  suspects: Schema.Array(SuspectSchema),
});

/** Decoded form of {@link TrialAnswerSchema}. */
export type TrialAnswer = typeof TrialAnswerSchema.Type;

/** Parameters of {@link PeerMethod.RELEASE_TRIAL}. */
export const ReleaseTrialSchema = Schema.Struct({
  attemptId: Schema.NonEmptyString,
  /** Fingerprint of a request that the trial has cleared. */
  cleared: Schema.optionalKey(Schema.NonEmptyString),
});

/** Decoded form of {@link ReleaseTrialSchema}. */
export type ReleaseTrial = typeof ReleaseTrialSchema.Type;
