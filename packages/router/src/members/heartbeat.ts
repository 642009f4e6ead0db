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
  /** Store era of that list. Absent in heartbeats of earlier releases: 0. */
  storeEra: Schema.optionalKey(Schema.Int),
  /**
   * Evacuated availability zones and the version of the store at which they were
   * read; see `EvacuatedZones`. Absent in heartbeats of earlier releases.
   */
  evacuated: Schema.optionalKey(
    Schema.Struct({
      zones: Schema.Array(Schema.String),
      era: Schema.Int,
      revision: Schema.Int,
    }),
  ),
  /**
   * The sender's requests in flight, by id of the backend server; empty also
   * where collectors tell the receiver, see `HeartbeatCounts`.
   */
  inFlight: Schema.Record(Schema.String, Schema.Number),
  /** Whether `inFlight` is empty because the sender has no requests in flight. */
  isIdle: Schema.optionalKey(Schema.Boolean),
  /** Whether the sender needs `inFlight` of others; see `LoadSums.isMissing`. */
  isMissingLoads: Schema.optionalKey(Schema.Boolean),
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
  /**
   * Whether the sender answers `PeerMethod.FETCH_CONFIGURATION`. Absent in
   * heartbeats of earlier releases.
   */
  isConfigurationServed: Schema.optionalKey(Schema.Boolean),
  /** Always empty; daemons of earlier releases need the field. */
  crashes: Schema.Record(Schema.String, Schema.Number),
});

/** Decoded form of {@link HeartbeatSchema}. */
export type Heartbeat = typeof HeartbeatSchema.Type;

/** Returns whether a heartbeat carries the requests in flight of its sender. */
export function hasCounts({inFlight, isIdle}: Heartbeat): boolean {
  return isIdle === true || Object.keys(inFlight).length > 0;
}
