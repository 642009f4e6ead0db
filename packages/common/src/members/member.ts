import {Schema} from 'effect';
import {AddressSchema} from '../settings/address.js';

/** State of a daemon in the fleet; decides whether it accepts new callers. */
export enum MemberState {
  /** Started, but has no configuration or no open listeners yet. */
  JOINING = 'joining',
  LIVE = 'live',
  LEAVING = 'leaving',
  /**
   * No daemon that probed this daemon reached it. The state is advertised by
   * other daemons, never by the daemon itself. Not related to
   * {@link SuspectState}, which concerns requests.
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
   * Higher after each restart of the daemon: the start time of the process in
   * milliseconds since the epoch, or one more than a higher incarnation that
   * the daemon received in a record of itself. The record with the highest
   * incarnation takes precedence.
   */
  incarnation: Schema.Int,
  /** Incremented with each change of this status within an incarnation. */
  sequence: Schema.Int,
  configurationRevision: Schema.Int,
  engines: Schema.Array(EngineInFlightSchema),
});

/** Decoded form of {@link MemberStatusSchema}. */
export type MemberStatus = typeof MemberStatusSchema.Type;

/**
 * Record of a daemon. The daemon advertises it; other daemons pass it on and
 * may set `state` to {@link MemberState.SUSPECT}.
 */
export const MemberSchema = Schema.Struct({
  ...MemberStatusSchema.fields,
  state: Schema.Enum(MemberState),
  /**
   * Raised by the daemon itself when its state changes, or to overrule a record
   * with another state, such as one that calls it suspect.
   */
  stateVersion: Schema.Int,
  region: Schema.NonEmptyString,
  availabilityZone: Schema.NonEmptyString,
  callerAddress: AddressSchema,
  controlAddress: AddressSchema,
});

/** Decoded form of {@link MemberSchema}. */
export type Member = typeof MemberSchema.Type;
