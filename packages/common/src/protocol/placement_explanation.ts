import {Schema} from 'effect';
import {PlacementReason} from './placement_reason.js';

/** One engine that a chat may be sent to, with what it would cost. */
export const EngineChoiceSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  reason: Schema.Enum(PlacementReason),
  /** Requests in flight as this daemon knows them. */
  inFlight: Schema.Int,
  /** Most requests that the engine may carry now. */
  bound: Schema.Int,
  /** Estimated wait for a slot, in milliseconds. */
  waitMs: Schema.Finite,
  /** Estimated time to get the missing context there, in milliseconds. */
  contextMs: Schema.Finite,
  /** What the choice was made by: both, weighted by the preference. */
  costMs: Schema.Finite,
});

/** Decoded form of {@link EngineChoiceSchema}. */
export type EngineChoice = typeof EngineChoiceSchema.Type;

/** A decision that was made for a request; holds no customer's text. */
export const PlacementRecordSchema = Schema.Struct({
  requestId: Schema.NonEmptyString,
  customer: Schema.NonEmptyString,
  service: Schema.NonEmptyString,
  atMs: Schema.Int,
  /** Engine that the ticket named; empty without a ticket. */
  ticketEngine: Schema.String,
  choices: Schema.Array(EngineChoiceSchema),
  /** Engine that took the request; empty when none did. */
  takenBy: Schema.String,
});

/** Decoded form of {@link PlacementRecordSchema}. */
export type PlacementRecord = typeof PlacementRecordSchema.Type;

/** Answer of GET /v1/explain: where a chat would go now, and why. */
export const PlacementExplanationSchema = Schema.Struct({
  /** Daemon that answers, and when, in milliseconds since the epoch. */
  daemon: Schema.NonEmptyString,
  atMs: Schema.Int,
  service: Schema.NonEmptyString,
  /** Engine taken for warm: of the ticket given or of the last decision. */
  warmEngine: Schema.String,
  /** What would be chosen now, best first. */
  choices: Schema.Array(EngineChoiceSchema),
  /** Daemon that counts the first choice's requests. */
  owner: Schema.String,
  /** The chat's last decisions on this daemon, newest first. */
  recent: Schema.Array(PlacementRecordSchema),
});

/** Decoded form of {@link PlacementExplanationSchema}. */
export type PlacementExplanation = typeof PlacementExplanationSchema.Type;
