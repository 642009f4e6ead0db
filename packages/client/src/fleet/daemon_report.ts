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

/** Fields of a daemon's dump that the client reads. */
export const DaemonReportSchema = Schema.Struct({
  self: ReportedMemberSchema,
  atMs: Schema.Int,
  uptimeMs: Schema.Int,
  configuration: Schema.Struct({
    revision: Schema.Int,
    isCurrent: Schema.Boolean,
    notCurrentSinceMs: Schema.optionalKey(Schema.Finite),
    refused: Schema.optionalKey(Schema.String),
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
        engines: Schema.Int,
        asWanted: Schema.Int,
        outOfWork: Schema.Array(Schema.String),
        silent: Schema.Array(Schema.String),
      }),
    ),
  ),
  memoryBytes: Schema.Finite,
  /** This field and the next two are absent in dumps of earlier versions. */
  recentOutcomes: Schema.optionalKey(Schema.Array(RecentOutcomeSchema)),
  pendingClaims: Schema.optionalKey(Schema.Int),
  pendingClaimsSinceMs: Schema.optionalKey(Schema.Finite),
});

/** Decoded form of {@link DaemonReportSchema}. */
export type DaemonReport = typeof DaemonReportSchema.Type;
