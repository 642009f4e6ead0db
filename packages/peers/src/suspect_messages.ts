import {Schema} from 'effect';
import {SuspectState} from '@greengagecross/common';
import {CrashReportSchema} from './crash_report.js';

/** Limit on the number of reports in one message. */
export const MAX_SUSPECTS_PER_CALL = 4096;
/** Limit on the number of reports on messages of chats in one message. */
export const MAX_TEXTS_PER_CALL = 128;

/**
 * State of one request that was in flight when its backend server crashed. The
 * names of messages call the request a suspect, whatever its state. A request
 * is identified by its fingerprint.
 */
const SuspectReportSchema = Schema.Struct({
  fingerprint: Schema.NonEmptyString,
  state: Schema.Enum(SuspectState),
  /** Time since the state was last confirmed, in milliseconds. */
  ageMs: Schema.Int.check(Schema.isGreaterThanOrEqualTo(0)),
});

/** State of one such request as a daemon reports it to another. */
export type SuspectReport = typeof SuspectReportSchema.Type;

/**
 * Parameters of {@link PeerMethod.SEND_SUSPECTS} and result of
 * {@link PeerMethod.FETCH_SUSPECTS}.
 */
export const SuspectReportsSchema = Schema.Struct({
  suspects: Schema.Array(SuspectReportSchema).check(
    Schema.isMaxLength(MAX_SUSPECTS_PER_CALL),
  ),
  /** Messages of chats under which engines crashed, by keyed hash. */
  texts: Schema.optionalKey(
    Schema.Array(CrashReportSchema).check(
      Schema.isMaxLength(MAX_TEXTS_PER_CALL),
    ),
  ),
});

/** Parameters of {@link PeerMethod.FETCH_SUSPECTS}. */
export const FetchSuspectsSchema = Schema.Struct({});

/**
 * Parameters of {@link PeerMethod.ACQUIRE_TRIAL}. A trial is one run of a
 * suspect while no other suspect runs on the same backend server. The called
 * daemon grants a permit for the trial, which expires after `leaseMs`.
 */
export const AcquireTrialSchema = Schema.Struct({
  fingerprint: Schema.NonEmptyString,
  /** Id of the backend server that runs the trial. */
  backend: Schema.NonEmptyString,
  /** Id of the daemon that starts the trial. */
  holder: Schema.NonEmptyString,
  attemptId: Schema.NonEmptyString,
  /** Time until the permit expires, in milliseconds. */
  leaseMs: Schema.Int,
});

/** Decoded form of {@link AcquireTrialSchema}. */
export type AcquireTrial = typeof AcquireTrialSchema.Type;

/** Result of {@link PeerMethod.ACQUIRE_TRIAL}. */
export const TrialAnswerSchema = Schema.Struct({
  granted: Schema.Boolean,
  /**
   * The answering daemon's report on the request; an empty list if it has no
   * record of the request.
   */
  suspects: Schema.Array(SuspectReportSchema),
});

/** Decoded form of {@link TrialAnswerSchema}. */
export type TrialAnswer = typeof TrialAnswerSchema.Type;

/** Parameters of {@link PeerMethod.RELEASE_TRIAL}. */
export const ReleaseTrialSchema = Schema.Struct({
  attemptId: Schema.NonEmptyString,
  /** Fingerprint of the request if the trial cleared it; otherwise absent. */
  cleared: Schema.optionalKey(Schema.NonEmptyString),
});

/** Decoded form of {@link ReleaseTrialSchema}. */
export type ReleaseTrial = typeof ReleaseTrialSchema.Type;
