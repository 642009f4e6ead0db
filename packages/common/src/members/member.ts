import {Schema} from 'effect';
import {AddressSchema} from '../settings/address.js';

/** Whether a daemon takes new callers. */
export enum MemberState {
  /** Started, but without a configuration or its listeners. */
  JOINING = 'joining',
  LIVE = 'live',
  LEAVING = 'leaving',
  /** Reached by none of those that tried; said by others, never by itself. */
  SUSPECT = 'suspect',
}

/** Load of one engine as counted by the daemon that owns it. */
export const EngineCountSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  inFlight: Schema.Int,
});

/** Decoded form of {@link EngineCountSchema}. */
export type EngineCount = typeof EngineCountSchema.Type;

/** What changes often about a daemon. */
export const MemberStatusSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  /** When the process started, in milliseconds; higher wins. */
  incarnation: Schema.Int,
  /** Rises with each change of this status in an incarnation. */
  sequence: Schema.Int,
  configurationRevision: Schema.Int,
  engines: Schema.Array(EngineCountSchema),
});

/** Decoded form of {@link MemberStatusSchema}. */
export type MemberStatus = typeof MemberStatusSchema.Type;

/** What a daemon says of itself. */
export const MemberSchema = Schema.Struct({
  ...MemberStatusSchema.fields,
  state: Schema.Enum(MemberState),
  /** Rises whenever the daemon itself announces its state again. */
  stateVersion: Schema.Int,
  region: Schema.NonEmptyString,
  availabilityZone: Schema.NonEmptyString,
  callerAddress: AddressSchema,
  controlAddress: AddressSchema,
});

/** Decoded form of {@link MemberSchema}. */
export type Member = typeof MemberSchema.Type;
