import {Schema} from 'effect';

/** An engine's report on itself; it lags. */
export const EngineLoadSchema = Schema.Struct({
  /** Requests being served. */
  running: Schema.Int,
  /** Requests waiting in the engine. */
  waiting: Schema.Int,
  /** Requests it can serve at once before they slow each other down. */
  capacity: Schema.Int,
  /** Whether it takes no new work. */
  leaving: Schema.Boolean,
  /** Age of the report, in milliseconds. */
  ageMs: Schema.Int,
});

/** Decoded form of {@link EngineLoadSchema}. */
export type EngineLoad = typeof EngineLoadSchema.Type;
