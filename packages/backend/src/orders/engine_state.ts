import {Schema} from 'effect';

/** State that an engine reports: what it has loaded and whether it drains. */
export const EngineStateSchema = Schema.Struct({
  modelVersion: Schema.String,
  /** Version of the model that is being loaded; empty if none is. */
  loadingVersion: Schema.String,
  adapters: Schema.Array(Schema.String),
  /** Current role of the engine; empty if it has none. */
  role: Schema.String,
  /**
   * Whether an order made the engine stop taking new requests. Not the same as
   * leaving the fleet: an order will make the engine resume.
   */
  isDraining: Schema.Boolean,
  /** Number of requests in flight. */
  inFlight: Schema.Int,
});

/** Decoded form of {@link EngineStateSchema}. */
export type EngineState = typeof EngineStateSchema.Type;
