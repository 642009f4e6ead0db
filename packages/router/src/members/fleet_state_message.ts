import {Schema} from 'effect';
import {CallKind} from '../model/call_kind.js';
import {BackendSchema} from './backend_message.js';

const RouteSchema = Schema.Struct({
  name: Schema.String,
  host: Schema.String,
  pathPrefix: Schema.String,
  kind: Schema.Enum(CallKind),
  services: Schema.Array(
    Schema.Struct({service: Schema.String, weight: Schema.Number}),
  ),
  timeoutMs: Schema.Number,
  objectiveMs: Schema.Number,
  maxEventGapMs: Schema.optionalKey(Schema.Number),
  maxAttempts: Schema.Number,
  priority: Schema.Number,
  isPublic: Schema.Boolean,
  isResumable: Schema.Boolean,
});

const CustomerSchema = Schema.Struct({
  name: Schema.String,
  keys: Schema.Array(Schema.String),
  priority: Schema.optionalKey(Schema.Number),
});

/** A configuration in messages between daemons. */
export const ConfigurationSchema = Schema.Struct({
  version: Schema.Number,
  routes: Schema.Array(RouteSchema),
  services: Schema.Array(Schema.String),
  customers: Schema.optionalKey(Schema.Array(CustomerSchema)),
  limits: Schema.Struct({
    maxHeaderBytes: Schema.Number,
    maxBodyBytes: Schema.Number,
    headerTimeoutMs: Schema.Number,
    idleTimeoutMs: Schema.Number,
  }),
  /** Only for receivers that ask for it: earlier releases reject it. */
  coldServices: Schema.optionalKey(
    Schema.Record(
      Schema.String,
      Schema.Struct({
        requestsPerSecond: Schema.Number,
        startMs: Schema.Number,
      }),
    ),
  ),
});

/** Parameters of the RPC that fetches the state that its sender lacks. */
export const FleetStateQuerySchema = Schema.Struct({
  /** Whether the sender also requests the configuration. */
  isConfigurationWanted: Schema.Boolean,
  /** Store revision of the sender's list of backend servers; -1 for none. */
  backendsRevision: Schema.Number,
  /**
   * Store era of that list; absent means 0. Daemons of earlier releases refuse
   * the field, so that it is sent only to those that advertise an era.
   */
  storeEra: Schema.optionalKey(Schema.Int),
  /**
   * Whether the sender also requests what is known of cold servers. Sent only to
   * peers whose heartbeat says that they know the field.
   */
  isColdStateWanted: Schema.optionalKey(Schema.Boolean),
});

/** Decoded form of {@link FleetStateQuerySchema}. */
export type FleetStateQuery = typeof FleetStateQuerySchema.Type;

/** Result of the RPC: changes of the state since the revision in the query. */
export const FleetStateResultSchema = Schema.Struct({
  /** Store era of the backends; absent, which means 0, if not in the query. */
  storeEra: Schema.optionalKey(Schema.Int),
  /** Absent when not requested or not available. */
  configuration: Schema.optionalKey(ConfigurationSchema),
  backends: Schema.Struct({
    changed: Schema.Array(BackendSchema),
    removed: Schema.Array(Schema.String),
    /** Ids of servers whose entries may have expired during a store outage. */
    lapsed: Schema.Array(Schema.String),
    revision: Schema.Number,
    changeRevision: Schema.Number,
  }),
});

/** Decoded form of {@link FleetStateResultSchema}. */
export type FleetStateResult = typeof FleetStateResultSchema.Type;
