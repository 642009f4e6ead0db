import {Schema} from 'effect';
import {
  FencingSupport,
  PlacementPreference,
  PriorityClass,
  ServiceKind,
} from './enums.js';

const PortSchema = Schema.Int.check(
  Schema.isBetween({minimum: 1, maximum: 65535}),
);

/** A process that runs requests: a model engine or a plain service's worker. */
export const BackendServerSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  host: Schema.NonEmptyString,
  port: PortSchema,
  availabilityZone: Schema.NonEmptyString,
});

/** Decoded form of {@link BackendServerSchema}. */
export type BackendServer = typeof BackendServerSchema.Type;

/** How the chats of a service are placed on its engines. */
export const PlacementRulesSchema = Schema.Struct({
  preference: Schema.Enum(PlacementPreference),
  /** Bound on one engine's requests in flight over the mean. */
  maxLoadMultiple: Schema.Finite.check(
    Schema.isBetween({minimum: 1.05, maximum: 10}),
  ),
});

/** Decoded form of {@link PlacementRulesSchema}. */
export type PlacementRules = typeof PlacementRulesSchema.Type;

/** What a service's engines should have loaded, and how fast they change. */
export const DesiredWeightsSchema = Schema.Struct({
  modelVersion: Schema.NonEmptyString,
  adapters: Schema.Array(Schema.NonEmptyString),
  /** Role that engines are ordered to take; empty for none. */
  role: Schema.String,
  /** Most engines of the service that are out of work at once. */
  outOfWorkAtOnce: Schema.Int,
  /** Most engines of all services that load from the weight store at once. */
  loadsAtOnce: Schema.Int,
});

/** Decoded form of {@link DesiredWeightsSchema}. */
export type DesiredWeights = typeof DesiredWeightsSchema.Type;

/** One service that callers name: a model, or a path of a plain service. */
export const ServiceSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  kind: Schema.Enum(ServiceKind),
  backendServers: Schema.Array(BackendServerSchema),
  placement: PlacementRulesSchema,
  fencing: Schema.Enum(FencingSupport),
  /** Absent where the fleet gives its engines no orders. */
  weights: Schema.optionalKey(DesiredWeightsSchema),
  /** Path prefixes of a plain service whose calls may not be repeated. */
  nonRepeatablePaths: Schema.Array(Schema.NonEmptyString),
  priority: Schema.Enum(PriorityClass),
  /** How long a caller waits at most, in milliseconds. */
  deadlineMs: Schema.Int,
});

/** Decoded form of {@link ServiceSchema}. */
export type Service = typeof ServiceSchema.Type;

/** Salted SHA-256 of one of a customer's keys, both in base64url. */
export const KeyHashSchema = Schema.Struct({
  salt: Schema.NonEmptyString,
  hash: Schema.NonEmptyString,
});

/** Decoded form of {@link KeyHashSchema}. */
export type KeyHash = typeof KeyHashSchema.Type;

/** Who sends requests and what they may use. */
export const CustomerSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  keyHashes: Schema.Array(KeyHashSchema),
  services: Schema.Array(Schema.NonEmptyString),
  /** Requests in flight at once over all daemons. */
  maxInFlight: Schema.Int,
});

/** Decoded form of {@link CustomerSchema}. */
export type Customer = typeof CustomerSchema.Type;

/** Everything that the questionnaire's answers decide. */
export const ConfigurationSchema = Schema.Struct({
  formatVersion: Schema.Literal(1),
  services: Schema.Array(ServiceSchema),
  customers: Schema.Array(CustomerSchema),
});

/** Decoded form of {@link ConfigurationSchema}. */
export type Configuration = typeof ConfigurationSchema.Type;
