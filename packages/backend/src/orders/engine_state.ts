import {Schema} from 'effect';

/** What an engine has loaded and does, by its own word. */
export const EngineStateSchema = Schema.Struct({
  modelVersion: Schema.String,
  /** Version that it is loading; empty when it loads none. */
  loadingVersion: Schema.String,
  adapters: Schema.Array(Schema.String),
  role: Schema.String,
  /** Whether an order told it to take no new work. */
  isDraining: Schema.Boolean,
  inFlight: Schema.Int,
});

/** Decoded form of {@link EngineStateSchema}. */
export type EngineState = typeof EngineStateSchema.Type;
