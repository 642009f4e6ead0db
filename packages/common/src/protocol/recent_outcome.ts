import {Schema} from 'effect';
import {Outcome} from './outcome.js';

/**
 * Requests that ended with the same outcome and reason, without a gap of more
 * than one minute between them.
 */
export const RecentOutcomeSchema = Schema.Struct({
  outcome: Schema.Enum(Outcome),
  /** Reason reported to the caller; empty for complete answers. */
  reason: Schema.String,
  count: Schema.Int,
  /** When the first one ended, in milliseconds since the epoch. */
  sinceMs: Schema.Finite,
  /** When the last one ended, in milliseconds since the epoch. */
  lastMs: Schema.Finite,
});

/** Decoded form of {@link RecentOutcomeSchema}. */
export type RecentOutcome = typeof RecentOutcomeSchema.Type;
