import {Schema} from 'effect';
import {Outcome} from './outcome.js';

/** Requests that ended alike, without a minute's break between them. */
export const RecentOutcomeSchema = Schema.Struct({
  outcome: Schema.Enum(Outcome),
  /** Reason that the caller was told; empty for whole answers. */
  reason: Schema.String,
  count: Schema.Int,
  /** The first and the last of them, in milliseconds since the epoch. */
  sinceMs: Schema.Finite,
  lastMs: Schema.Finite,
});

/** Decoded form of {@link RecentOutcomeSchema}. */
export type RecentOutcome = typeof RecentOutcomeSchema.Type;
