import {Schema} from 'effect';
import {MemberSchema} from '@greengagecross/common';

/** What operators' commands read of a daemon's dump. */
export const DaemonReportSchema = Schema.Struct({
  self: MemberSchema,
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
  live: Schema.Array(Schema.Struct({id: Schema.NonEmptyString})),
  ownedEngines: Schema.Array(Schema.Unknown),
  memoryBytes: Schema.Finite,
});

/** Decoded form of {@link DaemonReportSchema}. */
export type DaemonReport = typeof DaemonReportSchema.Type;
