import {Schema} from 'effect';
import {AddressSchema} from '../settings/address.js';

/** State of a daemon in the fleet; decides whether it accepts new callers. */
export enum MemberState {
  /** Started, but has no configuration or no open listeners yet. */
  JOINING = 'joining',
  LIVE = 'live',
  LEAVING = 'leaving',
  /**
   * No daemon that tried could reach this daemon. The state is advertised by
   * other daemons, never by the daemon itself.
   */
  SUSPECT = 'suspect',
}

/**
 * Requests in flight on an engine, as counted by its owner: the daemon that
 * counts the engine's requests.
 */
export const EngineInFlightSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  inFlight: Schema.Int,
});

/** Decoded form of {@link EngineInFlightSchema}. */
export type EngineInFlight = typeof EngineInFlightSchema.Type;

/** Fields of a daemon's record that change often. */
export const MemberStatusSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  /**
   * Start time of the process, in milliseconds since the epoch. The record with
   * the highest incarnation takes precedence.
   */
  incarnation: Schema.Int,
  /** Incremented with each change of this status within an incarnation. */
  sequence: Schema.Int,
  configurationRevision: Schema.Int,
  engines: Schema.Array(EngineInFlightSchema),
});

/** Decoded form of {@link MemberStatusSchema}. */
export type MemberStatus = typeof MemberStatusSchema.Type;

/** Record that a daemon advertises about itself. */
export const MemberSchema = Schema.Struct({
  ...MemberStatusSchema.fields,
  state: Schema.Enum(MemberState),
  /** Incremented each time the daemon itself advertises its state again. */
  stateVersion: Schema.Int,
  region: Schema.NonEmptyString,
  availabilityZone: Schema.NonEmptyString,
  callerAddress: AddressSchema,
  controlAddress: AddressSchema,
});

/** Decoded form of {@link MemberSchema}. */
export type Member = typeof MemberSchema.Type;
