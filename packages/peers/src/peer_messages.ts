import {Schema} from 'effect';
import {MemberSchema} from '@greengagecross/common';

/** Parameters and result of {@link PeerMethod.HEARTBEAT}. */
export const HeartbeatSchema = Schema.Struct({
  members: Schema.Array(MemberSchema),
});

/** Decoded form of {@link HeartbeatSchema}. */
export type Heartbeat = typeof HeartbeatSchema.Type;

/** Parameters of {@link PeerMethod.ACQUIRE_SLOT}. */
export const AcquireSlotSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  slotId: Schema.NonEmptyString,
  /** Daemon that will use the slot. */
  holder: Schema.NonEmptyString,
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
