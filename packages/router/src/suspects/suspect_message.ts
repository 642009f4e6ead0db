import {Schema} from 'effect';

/** Kind of the datagram, by which the receiver tells it from others. */
export const SUSPECT_MESSAGE_KIND = 'crash-suspects';

/** What a daemon knows of one prompt part; see `CrashReport` of decisions. */
export const CrashReportSchema = Schema.Struct({
  id: Schema.NonEmptyString,
  position: Schema.Number,
  crashes: Schema.Array(
    Schema.Struct({
      server: Schema.String,
      ageMs: Schema.Finite,
      sentAgeMs: Schema.Finite,
    }),
  ),
  clearedAgeMs: Schema.optionalKey(Schema.Finite),
});

/** Changed reports, sent to all daemons at once; heartbeats repeat them. */
export const SuspectMessageSchema = Schema.Struct({
  kind: Schema.Literal(SUSPECT_MESSAGE_KIND),
  reports: Schema.Array(CrashReportSchema),
});

/** Decoded form of {@link SuspectMessageSchema}. */
export type SuspectMessage = typeof SuspectMessageSchema.Type;
