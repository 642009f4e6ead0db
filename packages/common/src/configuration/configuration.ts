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

/**
 * Process that runs requests: a model engine, or a server of a plain service,
 * which answers requests without prompts.
 */
export const BackendServerSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  host: Schema.NonEmptyString,
  port: PortSchema,
  availabilityZone: Schema.NonEmptyString,
});

/** Decoded form of {@link BackendServerSchema}. */
export type BackendServer = typeof BackendServerSchema.Type;

/** How the chats of a service are assigned to its engines. */
export const PlacementRulesSchema = Schema.Struct({
  preference: Schema.Enum(PlacementPreference),
  /** Maximum of one engine's requests in flight, as a multiple of the mean. */
  maxLoadMultiple: Schema.Finite.check(
    Schema.isBetween({minimum: 1.05, maximum: 10}),
  ),
});

/** Decoded form of {@link PlacementRulesSchema}. */
export type PlacementRules = typeof PlacementRulesSchema.Type;

/**
 * Model version, adapters and role that the engines of a service should have,
 * and limits on how many engines change at once.
 */
export const DesiredWeightsSchema = Schema.Struct({
  modelVersion: Schema.NonEmptyString,
  adapters: Schema.Array(Schema.NonEmptyString),
  /** Role that engines are ordered to take; empty if roles are not used. */
  role: Schema.String,
  /**
   * Maximum number of the service's engines that are out of service at once:
   * draining, also while they load, or not answering.
   */
  outOfWorkAtOnce: Schema.Int,
  /**
   * Maximum number of engines, over all services, that load from the weight
   * store at once.
   */
  loadsAtOnce: Schema.Int,
});

/** Decoded form of {@link DesiredWeightsSchema}. */
export type DesiredWeights = typeof DesiredWeightsSchema.Type;

/**
 * Service that callers name: a model, by its name, or a plain service, by the
 * first part of the path.
 */
export const ServiceSchema = Schema.Struct({
  name: Schema.NonEmptyString,
  kind: Schema.Enum(ServiceKind),
  backendServers: Schema.Array(BackendServerSchema),
  placement: PlacementRulesSchema,
  fencing: Schema.Enum(FencingSupport),
  /** Absent if the fleet sends no orders to the service's engines. */
  weights: Schema.optionalKey(DesiredWeightsSchema),
  /** Path prefixes of a plain service whose requests must not be repeated. */
  nonRepeatablePaths: Schema.Array(Schema.NonEmptyString),
  priority: Schema.Enum(PriorityClass),
  /**
   * Time limit of a request, in milliseconds. A caller may ask for less in the
   * `greengagecross-deadline-ms` header.
   */
  deadlineMs: Schema.Int,
});

/** Decoded form of {@link ServiceSchema}. */
export type Service = typeof ServiceSchema.Type;

/** Salt and salted SHA-256 hash of a customer's key, both in base64url. */
export const KeyHashSchema = Schema.Struct({
  salt: Schema.NonEmptyString,
  hash: Schema.NonEmptyString,
});

/** Decoded form of {@link KeyHashSchema}. */
export type KeyHash = typeof KeyHashSchema.Type;

/** Customer that sends requests, with its services and limits. */
export const CustomerSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  keyHashes: Schema.Array(KeyHashSchema),
  services: Schema.Array(Schema.NonEmptyString),
  /** Maximum number of requests in flight at once over all daemons. */
  maxInFlight: Schema.Int,
});

/** Decoded form of {@link CustomerSchema}. */
export type Customer = typeof CustomerSchema.Type;

/**
 * Configuration generated from the answers to the questionnaire. Not the
 * routing configuration of package router, which has other fields.
 */
export const ConfigurationSchema = Schema.Struct({
  /**
   * Version of the format of this document. The root part under which a
   * configuration is stored has a format version of its own.
   */
  formatVersion: Schema.Literal(1),
  services: Schema.Array(ServiceSchema),
  customers: Schema.Array(CustomerSchema),
});

/** Decoded form of {@link ConfigurationSchema}. */
export type Configuration = typeof ConfigurationSchema.Type;
