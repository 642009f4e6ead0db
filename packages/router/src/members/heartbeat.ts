import {Schema} from 'effect';
import {AddressSchema} from '@greengagecross/common';

/** What a daemon can do for clients now. */
export enum DaemonState {
  /** It does not know a configuration yet. */
  STARTING = 'starting',
  READY = 'ready',
  /** It was told to stop and takes no new clients. */
  LEAVING = 'leaving',
}

/** What a daemon tells the others, several times a second. */
export const HeartbeatSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  availabilityZone: Schema.String,
  callers: AddressSchema,
  peers: AddressSchema,
  heartbeats: AddressSchema,
  /** Grows with each start of the process, as far as clocks allow. */
  incarnation: Schema.Number,
  /** Grows with each heartbeat of one incarnation. */
  sequence: Schema.Number,
  state: Schema.Enum(DaemonState),
  /** Time until its next heartbeat, in milliseconds. */
  intervalMs: Schema.Number,
  /** Whether the store answered it last. */
  isStoreReached: Schema.Boolean,
  configurationVersion: Schema.Number,
  /** Newest change in its list of backend servers. */
  backendsChange: Schema.Number,
  /** Requests in flight by backend server. */
  inFlight: Schema.Record(Schema.String, Schema.Number),
  /** Crashes counted by a request's fingerprint. */
  crashes: Schema.Record(Schema.String, Schema.Number),
});

/** Decoded form of {@link HeartbeatSchema}. */
export type Heartbeat = typeof HeartbeatSchema.Type;
