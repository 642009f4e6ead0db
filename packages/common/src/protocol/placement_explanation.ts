import {Schema} from 'effect';
import {PlacementReason} from './placement_reason.js';

/** Engine that a chat may be sent to, with its estimated cost. */
export const EngineChoiceSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  reason: Schema.Enum(PlacementReason),
  /** Requests in flight on the engine, as observed by this daemon. */
  inFlight: Schema.Int,
  /** Maximum number of requests in flight allowed on the engine now. */
  bound: Schema.Int,
  /** Estimated wait for a slot, in milliseconds. */
  waitMs: Schema.Finite,
  /**
   * Estimated time to provide the context that the engine lacks, in
   * milliseconds.
   */
  contextMs: Schema.Finite,
  /**
   * Cost that orders the choices: `waitMs` and `contextMs`, weighted by the
   * placement preference of the service.
   */
  costMs: Schema.Finite,
});

/** Decoded form of {@link EngineChoiceSchema}. */
export type EngineChoice = typeof EngineChoiceSchema.Type;

/** Placement decision for a request; holds no text of customers. */
export const PlacementRecordSchema = Schema.Struct({
  requestId: Schema.NonEmptyString,
  customer: Schema.NonEmptyString,
  service: Schema.NonEmptyString,
  /** When the decision was made, in milliseconds since the epoch. */
  atMs: Schema.Int,
  /** Engine named by the ticket; empty without a ticket. */
  ticketEngine: Schema.String,
  choices: Schema.Array(EngineChoiceSchema),
  /** Engine that accepted the request; empty if none did. */
  takenBy: Schema.String,
});

/** Decoded form of {@link PlacementRecordSchema}. */
export type PlacementRecord = typeof PlacementRecordSchema.Type;

/** Answer to GET /v1/explain: where a chat would be placed now, and why. */
export const PlacementExplanationSchema = Schema.Struct({
  /** Daemon that answers. */
  daemon: Schema.NonEmptyString,
  /** When it answered, in milliseconds since the epoch. */
  atMs: Schema.Int,
  service: Schema.NonEmptyString,
  /**
   * Engine assumed to have the context cached: the engine of the given ticket,
   * else of the last recorded decision; empty if there is neither.
   */
  warmEngine: Schema.String,
  /** Engines that would be chosen now, best first. */
  choices: Schema.Array(EngineChoiceSchema),
  /** Daemon that counts the first choice's requests; empty without a choice. */
  owner: Schema.String,
  /** The latest decisions of this daemon for the chat, newest first. */
  recent: Schema.Array(PlacementRecordSchema),
});

/** Decoded form of {@link PlacementExplanationSchema}. */
export type PlacementExplanation = typeof PlacementExplanationSchema.Type;
