import {Schema} from 'effect';

/** Record of one accepted configuration; stored in the table service. */
export const ConfigurationRevisionSchema = Schema.Struct({
  /** Increases by one with each accepted configuration, from 1. */
  revision: Schema.Int,
  /** SHA-256 of the configuration's root part, in hexadecimal. */
  digest: Schema.NonEmptyString,
  /** SHA-256 of the root part of the questionnaire answers, in hexadecimal. */
  answersDigest: Schema.NonEmptyString,
  /**
   * Segment of the object store that holds all parts of this revision.
   *
   * Segment names sort by the first revision of each segment.
   */
  segment: Schema.NonEmptyString,
  /** Digest of the part that lists the packs; empty if there are no packs. */
  packIndex: Schema.String,
  /** Number of parts written since the last packs were written. */
  partsSincePacks: Schema.Int,
  /** Id of the accept operation; a retry after a lost reply has the same id. */
  operationId: Schema.NonEmptyString,
  acceptedBy: Schema.NonEmptyString,
  acceptedAtMs: Schema.Int,
  reason: Schema.String,
});

/** Decoded form of {@link ConfigurationRevisionSchema}. */
export type ConfigurationRevision = typeof ConfigurationRevisionSchema.Type;

/** A revision with the ids of the questionnaire answers that it changed. */
export const HistoryEntrySchema = Schema.Struct({
  record: ConfigurationRevisionSchema,
  /** Ids of the changed answers; at most the first 50 of them. */
  changes: Schema.Array(Schema.NonEmptyString),
  /** Number of all changed answers. */
  changeCount: Schema.Int,
});

/** Decoded form of {@link HistoryEntrySchema}. */
export type HistoryEntry = typeof HistoryEntrySchema.Type;
