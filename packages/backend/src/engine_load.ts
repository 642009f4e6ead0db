import {Schema} from 'effect';

/** An engine's report of its load; its values are `ageMs` old. */
export const EngineLoadSchema = Schema.Struct({
  /** Number of requests that the engine is serving. */
  running: Schema.Int,
  /** Number of requests that wait in the engine's queue. */
  waiting: Schema.Int,
  /** Number of requests that can run at once without a slowdown. */
  capacity: Schema.Int,
  /**
   * Whether the engine is leaving the fleet for good and takes no new requests;
   * compare `isDraining` of {@link EngineStateSchema}.
   */
  leaving: Schema.Boolean,
  /** Age of the report, in milliseconds. */
  ageMs: Schema.Int,
});

/** Decoded form of {@link EngineLoadSchema}. */
export type EngineLoad = typeof EngineLoadSchema.Type;
