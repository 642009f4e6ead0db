import {Schema} from 'effect';

/**
 * Crashes of backend servers at which requests with one part of a prompt, or one
 * text, waited; see `CrashReport` of package decisions. Ages in milliseconds.
 */
export const CrashReportSchema = Schema.Struct({
  /** Id of the part, or keyed hash of the text. */
  id: Schema.NonEmptyString,
  /** 0 for the first part of a prompt. */
  position: Schema.Number,
  crashes: Schema.Array(
    Schema.Struct({
      server: Schema.String,
      ageMs: Schema.Finite,
      /** Age of the sending of the last request that waited there. */
      sentAgeMs: Schema.Finite,
    }),
  ),
  /** Age of the last answer that began; absent if there was none. */
  clearedAgeMs: Schema.optionalKey(Schema.Finite),
});

/** Decoded form of {@link CrashReportSchema}. */
export type CrashReportMessage = typeof CrashReportSchema.Type;
