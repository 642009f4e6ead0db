import {Schema} from 'effect';
import {
  AddressSchema,
  MemberSchema,
  MemberStatusSchema,
  PriorityClass,
} from '@greengagecross/common';

/** Hosts that one version of the platform's host list shows as leaving. */
export const LeavingHostsSchema = Schema.Struct({
  /** Version of the host list; a higher version replaces a lower one. */
  version: Schema.Int,
  /** Ids of the leaving daemons and backend servers. */
  leaving: Schema.Array(Schema.NonEmptyString),
});

/** Decoded form of {@link LeavingHostsSchema}. */
export type LeavingHosts = typeof LeavingHostsSchema.Type;

/**
 * Parameters and result of {@link PeerMethod.HEARTBEAT}: the member records
 * that the receiver may lack, and hashes to compare the member tables.
 */
export const HeartbeatSchema = Schema.Struct({
  /**
   * Id of the sender. If the sender's own record is included in `members` or
   * `statuses`, it comes first there.
   */
  from: Schema.NonEmptyString,
  /** Incarnation of the sender; see {@link MemberStatusSchema}. */
  incarnation: Schema.Int,
  /** Member records that the receiver may lack. */
  members: Schema.Array(MemberSchema),
  /** Statuses of members whose record the receiver otherwise holds. */
  statuses: Schema.Array(MemberStatusSchema),
  /** Hash over member records; equal on daemons that hold the same records. */
  tableHash: Schema.Int,
  /**
   * One 32-bit hash for each group of members, not a SHA-256 digest. If the
   * table hashes differ, these show which groups differ. Absent if no such
   * comparison is due.
   */
  digest: Schema.optionalKey(Schema.Array(Schema.Int)),
  /**
   * Number of the highest configuration revision that the sender uses or that
   * another daemon advertised to it.
   */
  highestRevision: Schema.Int,
  /** Absent if the receiver already has this version or a higher one. */
  hosts: Schema.optionalKey(LeavingHostsSchema),
});

/** Decoded form of {@link HeartbeatSchema}. */
export type Heartbeat = typeof HeartbeatSchema.Type;

/** Parameters of {@link PeerMethod.PROBE}: the daemon that the peer probes. */
export const ProbeSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  controlAddress: AddressSchema,
});

/** Decoded form of {@link ProbeSchema}. */
export type Probe = typeof ProbeSchema.Type;

/** Result of {@link PeerMethod.PROBE}: whether the probed daemon replied. */
export const ProbeAnswerSchema = Schema.Struct({reached: Schema.Boolean});

/** Decoded form of {@link ProbeAnswerSchema}. */
export type ProbeAnswer = typeof ProbeAnswerSchema.Type;

/**
 * Parameters of {@link PeerMethod.ACQUIRE_SLOT}. A slot is the permission to
 * run one request on an engine. It is granted by the engine's owner, the daemon
 * that counts the engine's requests.
 */
export const AcquireSlotSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  slotId: Schema.NonEmptyString,
  /** Id of the daemon that will use the slot. */
  holder: Schema.NonEmptyString,
  customer: Schema.optionalKey(Schema.String),
  priority: Schema.optionalKey(Schema.Enum(PriorityClass)),
  /**
   * Time for which the holder repeats this call until the slot is granted, in
   * milliseconds; 0 if absent. The owner may refuse each call before this time
   * has passed.
   */
  waitMs: Schema.optionalKey(Schema.Int),
});

/** Decoded form of {@link AcquireSlotSchema}. */
export type AcquireSlot = typeof AcquireSlotSchema.Type;

/** Result of {@link PeerMethod.ACQUIRE_SLOT}: whether the slot is granted. */
export const SlotAnswerSchema = Schema.Struct({granted: Schema.Boolean});

/** Decoded form of {@link SlotAnswerSchema}. */
export type SlotAnswer = typeof SlotAnswerSchema.Type;

/**
 * A granted slot: parameters of {@link PeerMethod.RELEASE_SLOT} and item of
 * those of {@link PeerMethod.RENEW_SLOTS}.
 */
export const SlotReferenceSchema = Schema.Struct({
  engine: Schema.NonEmptyString,
  slotId: Schema.NonEmptyString,
});

/** Decoded form of {@link SlotReferenceSchema}. */
export type SlotReference = typeof SlotReferenceSchema.Type;

/** Parameters of {@link PeerMethod.RENEW_SLOTS}. */
export const RenewSlotsSchema = Schema.Struct({
  /** Id of the daemon that uses the slots. */
  holder: Schema.NonEmptyString,
  slots: Schema.Array(SlotReferenceSchema),
});

/** Decoded form of {@link RenewSlotsSchema}. */
export type RenewSlots = typeof RenewSlotsSchema.Type;

/**
 * Parameters of {@link PeerMethod.BACKEND_LEAVING}, which is called on the
 * owner of the backend server.
 */
export const BackendLeavingSchema = Schema.Struct({
  /** Id of the leaving engine or server of a plain service. */
  backend: Schema.NonEmptyString,
});
