import {Schema} from 'effect';
import {AddressSchema} from './address.js';
import {TuningSchema} from './tuning.js';

/** What one daemon's settings file holds. */
export const DaemonSettingsSchema = Schema.Struct({
  /** Name of this daemon, unique in the fleet. */
  id: Schema.NonEmptyString,
  region: Schema.NonEmptyString,
  availabilityZone: Schema.NonEmptyString,
  /** Where callers connect. */
  callerListener: AddressSchema,
  /** Where peers and operators connect. */
  controlListener: AddressSchema,
  /** The table service, object store and host list. */
  platform: AddressSchema,
  /** File of the fleet's keys; see {@link FleetKeysSchema}. */
  keysFile: Schema.NonEmptyString,
  /** Control addresses of other daemons, for when no host list can be read. */
  seeds: Schema.optionalKey(Schema.Array(AddressSchema)),
  tuning: Schema.optionalKey(TuningSchema),
});

/** Decoded form of {@link DaemonSettingsSchema}. */
export type DaemonSettings = typeof DaemonSettingsSchema.Type;

const KeysSchema = Schema.Array(
  Schema.String.check(Schema.isMinLength(16)),
).check(Schema.isBetweenLength(1, 2));

/** The fleet's secrets; two keys of a kind are valid at once while rotating. */
export const FleetKeysSchema = Schema.Struct({
  peer: KeysSchema,
  operator: KeysSchema,
  ticket: KeysSchema,
});

/** Decoded form of {@link FleetKeysSchema}. */
export type FleetKeys = typeof FleetKeysSchema.Type;
