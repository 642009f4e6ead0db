import {Schema} from 'effect';
import {
  AddressSchema,
  MemberSchema,
  MemberStatusSchema,
  PriorityClass,
} from '@greengagecross/common';

/** Backend servers that the platform's host list showed as leaving. */
export const HostNewsSchema = Schema.Struct({
  /** Version of the list; the highest holds. */
  version: Schema.Int,
  leaving: Schema.Array(Schema.NonEmptyString),
});

/** Decoded form of {@link HostNewsSchema}. */
export type HostNews = typeof HostNewsSchema.Type;

/** Parameters and result of {@link PeerMethod.HEARTBEAT}. */
export const HeartbeatSchema = Schema.Struct({
  /** Sender; its own member or status comes first in its list. */
  from: Schema.NonEmptyString,
  incarnation: Schema.Int,
  /** Members whose state the receiver may not know. */
  members: Schema.Array(MemberSchema),
  /** Statuses of members that the receiver knows. */
  statuses: Schema.Array(MemberStatusSchema),
  /** Equal on daemons that know the same states of members. */
  tableHash: Schema.Int,
  /** The same for each share of the members, where the hashes differed. */
  digest: Schema.optionalKey(Schema.Array(Schema.Int)),
  /** Highest revision of the configuration that any member told. */
  highestRevision: Schema.Int,
  hosts: Schema.optionalKey(HostNewsSchema),
});

/** Decoded form of {@link HeartbeatSchema}. */
export type Heartbeat = typeof HeartbeatSchema.Type;

/** Parameters of {@link PeerMethod.PROBE}: a daemon to try on one's behalf. */
export const ProbeSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  controlAddress: AddressSchema,
});

/** Decoded form of {@link ProbeSchema}. */
export type Probe = typeof ProbeSchema.Type;

/** Result of {@link PeerMethod.PROBE}. */
export const ProbeAnswerSchema = Schema.Struct({reached: Schema.Boolean});

/** Decoded form of {@link ProbeAnswerSchema}. */
export type ProbeAnswer = typeof ProbeAnswerSchema.Type;

/** Parameters of {@link PeerMethod.ACQUIRE_SLOT}. */
export const AcquireSlotSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  slotId: Schema.NonEmptyString,
  /** Daemon that will use the slot. */
  holder: Schema.NonEmptyString,
  customer: Schema.optionalKey(Schema.String),
  priority: Schema.optionalKey(Schema.Enum(PriorityClass)),
  /** How long it keeps asking, in milliseconds. */
  waitMs: Schema.optionalKey(Schema.Int),
});

/** Decoded form of {@link AcquireSlotSchema}. */
export type AcquireSlot = typeof AcquireSlotSchema.Type;

/** Result of {@link PeerMethod.ACQUIRE_SLOT}. */
export const SlotAnswerSchema = Schema.Struct({granted: Schema.Boolean});

/** Decoded form of {@link SlotAnswerSchema}. */
export type SlotAnswer = typeof SlotAnswerSchema.Type;

/** Parameters of {@link PeerMethod.RELEASE_SLOT}. */
export const ReleaseSlotSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  slotId: Schema.NonEmptyString,
});

/** Decoded form of {@link ReleaseSlotSchema}. */
export type ReleaseSlot = typeof ReleaseSlotSchema.Type;

/** Parameters of {@link PeerMethod.RENEW_SLOTS}. */
export const RenewSlotsSchema = Schema.Struct({
  /** Daemon that uses the slots. */
  holder: Schema.NonEmptyString,
  slots: Schema.Array(ReleaseSlotSchema),
});

/** Decoded form of {@link RenewSlotsSchema}. */
export type RenewSlots = typeof RenewSlotsSchema.Type;

/** Parameters of {@link PeerMethod.BACKEND_LEAVING}, for its engine's owner. */
export const BackendLeavingSchema = Schema.Struct({
  backend: Schema.NonEmptyString,
});
