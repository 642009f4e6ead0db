import {Schema} from 'effect';
import {AddressSchema} from '../settings/address.js';

/** Whether a daemon takes new callers. */
export enum MemberState {
  LIVE = 'live',
  LEAVING = 'leaving',
}

/** Load of one engine as counted by the daemon that owns it. */
export const EngineCountSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  inFlight: Schema.Int,
});

/** Decoded form of {@link EngineCountSchema}. */
export type EngineCount = typeof EngineCountSchema.Type;

/** What a daemon says of itself. */
export const MemberSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  state: Schema.Enum(MemberState),
  region: Schema.NonEmptyString,
  availabilityZone: Schema.NonEmptyString,
  callerAddress: AddressSchema,
  controlAddress: AddressSchema,
  /** When the process started, in milliseconds; higher wins. */
  incarnation: Schema.Int,
  /** Rises with each heartbeat of an incarnation. */
  sequence: Schema.Int,
  configurationRevision: Schema.Int,
  engines: Schema.Array(EngineCountSchema),
});

/** Decoded form of {@link MemberSchema}. */
export type Member = typeof MemberSchema.Type;
