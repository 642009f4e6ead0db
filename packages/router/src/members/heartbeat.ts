import {Schema} from 'effect';
import {AddressSchema} from '@greengagecross/common';
import {CrashReportSchema} from '@greengagecross/peers';

/**
 * Availability of a daemon for clients. Unlike `MemberState` of package
 * decisions, it does not tell whether other daemons can reach the daemon.
 */
export enum DaemonState {
  /** The daemon has no configuration or no backend list yet. */
  STARTING = 'starting',
  /** The daemon is listed in the directory and accepts new clients. */
  READY = 'ready',
  /** The daemon is stopping and is no longer listed for clients. */
  LEAVING = 'leaving',
}

/**
 * State that a daemon sends to its peers regularly; the interval grows with the
 * number of daemons.
 */
export const HeartbeatSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  availabilityZone: Schema.String,
  /** Address for client connections. */
  callers: AddressSchema,
  /** Address for RPCs from other daemons. */
  peers: AddressSchema,
  /** UDP address for heartbeats. */
  heartbeats: AddressSchema,
  /**
   * Start time of the process in milliseconds since the epoch; greater after a
   * restart unless the clock was set back.
   */
  incarnation: Schema.Number,
  /** Increases with each heartbeat of one incarnation. */
  sequence: Schema.Number,
  state: Schema.Enum(DaemonState),
  /** Time until the sender's next heartbeat, in milliseconds. */
  intervalMs: Schema.Number,
  /** Whether the sender's last store call succeeded; true before the first. */
  isStoreReached: Schema.Boolean,
  /** Version of the active configuration; -1 before the first. */
  configurationVersion: Schema.Number,
  /** Revision of the newest change in the sender's backend list. */
  backendsChange: Schema.Number,
  /** The sender's requests in flight, by id of the backend server. */
  inFlight: Schema.Record(Schema.String, Schema.Number),
  /** Ids of the daemons that watch the sender; see `FleetWatch`. */
  watchers: Schema.optionalKey(Schema.Array(Schema.String)),
  /** Incarnations of silent daemons, by id, that the sender watches. */
  silent: Schema.optionalKey(Schema.Record(Schema.String, Schema.Number)),
  /** Suspects under which servers crashed; see `CrashSuspects`. */
  suspects: Schema.optionalKey(Schema.Array(CrashReportSchema)),
  /**
   * Whether queries for the sender's state may ask for cold servers; absent if
   * the sender's configuration has no service with a bound for them.
   */
  isColdStateKnown: Schema.optionalKey(Schema.Boolean),
  /** Always empty; daemons of earlier releases need the field. */
  crashes: Schema.Record(Schema.String, Schema.Number),
});

/** Decoded form of {@link HeartbeatSchema}. */
export type Heartbeat = typeof HeartbeatSchema.Type;
