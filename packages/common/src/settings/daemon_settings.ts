import {Schema} from 'effect';
import {AddressSchema} from './address.js';
import {TuningSchema} from './tuning.js';

/** Settings file of a daemon. */
export const DaemonSettingsSchema = Schema.Struct({
  /** Name of this daemon, unique in the fleet. */
  id: Schema.NonEmptyString,
  region: Schema.NonEmptyString,
  availabilityZone: Schema.NonEmptyString,
  /** Address on which the daemon accepts callers. */
  callerListener: AddressSchema,
  /** Address on which the daemon accepts peers and operators. */
  controlListener: AddressSchema,
  /**
   * Address of the platform's table service, object store, host list and weight
   * store.
   */
  platform: AddressSchema,
  /** Path of the file of the fleet's keys; see {@link FleetKeysSchema}. */
  keysFile: Schema.NonEmptyString,
  /** Control addresses of daemons to contact, besides those in the host list. */
  seeds: Schema.optionalKey(Schema.Array(AddressSchema)),
  tuning: Schema.optionalKey(TuningSchema),
});

/** Decoded form of {@link DaemonSettingsSchema}. */
export type DaemonSettings = typeof DaemonSettingsSchema.Type;

const KeysSchema = Schema.Array(
  Schema.String.check(Schema.isMinLength(16)),
).check(Schema.isBetweenLength(1, 2));

/** Secrets of the fleet. Two keys of a kind are valid during a rotation. */
export const FleetKeysSchema = Schema.Struct({
  peer: KeysSchema,
  operator: KeysSchema,
  ticket: KeysSchema,
});

/** Decoded form of {@link FleetKeysSchema}. */
export type FleetKeys = typeof FleetKeysSchema.Type;
