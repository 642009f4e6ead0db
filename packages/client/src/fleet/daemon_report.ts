import {Schema} from 'effect';
import {
  AddressSchema,
  EngineInFlightSchema,
  MemberState,
  RecentOutcomeSchema,
} from '@greengagecross/common';

const ReportedMemberSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  state: Schema.Enum(MemberState),
  availabilityZone: Schema.NonEmptyString,
  controlAddress: AddressSchema,
});

/** Fields of a daemon's dump, `GET /v1/dump`, that the client decodes. */
export const DaemonReportSchema = Schema.Struct({
  self: ReportedMemberSchema,
  /** Time of the dump, ms since the epoch. */
  atMs: Schema.Int,
  uptimeMs: Schema.Int,
  configuration: Schema.Struct({
    revision: Schema.Int,
    isCurrent: Schema.Boolean,
    /** In ms since the epoch; absent while the revision is current. */
    notCurrentSinceMs: Schema.optionalKey(Schema.Finite),
    /** Why the newest revision was refused; absent if it was not. */
    refused: Schema.optionalKey(Schema.String),
    /** In ms since the epoch; absent if no revision is refused. */
    refusedSinceMs: Schema.optionalKey(Schema.Finite),
  }),
  hostListIsCurrent: Schema.Boolean,
  live: Schema.Array(ReportedMemberSchema),
  ownedEngines: Schema.Array(EngineInFlightSchema),
  /** Absent in dumps of earlier versions, which have no orders to engines. */
  orders: Schema.optionalKey(
    Schema.Array(
      Schema.Struct({
        service: Schema.NonEmptyString,
        fencingNumber: Schema.Int,
        modelVersion: Schema.String,
        /** Number of engines that get orders. */
        engines: Schema.Int,
        /** Number of engines that have the ordered model version. */
        asWanted: Schema.Int,
        /** Ids of engines that accept no requests while they change. */
        outOfWork: Schema.Array(Schema.String),
        /** Ids of engines that do not reply. */
        silent: Schema.Array(Schema.String),
      }),
    ),
  ),
  memoryBytes: Schema.Finite,
  /** Absent in dumps of earlier versions. */
  recentOutcomes: Schema.optionalKey(Schema.Array(RecentOutcomeSchema)),
  /** Absent in dumps of earlier versions. */
  pendingClaims: Schema.optionalKey(Schema.Int),
  /** In ms since the epoch; absent without pending claims. */
  pendingClaimsSinceMs: Schema.optionalKey(Schema.Finite),
});

/** Decoded form of {@link DaemonReportSchema}. */
export type DaemonReport = typeof DaemonReportSchema.Type;
