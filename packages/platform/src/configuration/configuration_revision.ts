import {Schema} from 'effect';

/** The record of one accepted configuration; a row of the table service. */
export const ConfigurationRevisionSchema = Schema.Struct({
  /** Rises by one with each acceptance, from 1. */
  revision: Schema.Int,
  /** SHA-256 of the configuration's root part, in hexadecimal. */
  digest: Schema.NonEmptyString,
  /** SHA-256 of the root part of the answers that it was generated from. */
  answersDigest: Schema.NonEmptyString,
  /** Where its parts are in the object store; names sort by their first revision. */
  segment: Schema.NonEmptyString,
  /** Part that names the packs; empty while there are none. */
  packIndex: Schema.String,
  /** Parts written since the packs. */
  partsSincePacks: Schema.Int,
  /** Id of the operation that accepted it; sent again after a lost reply. */
  operationId: Schema.NonEmptyString,
  acceptedBy: Schema.NonEmptyString,
  acceptedAtMs: Schema.Int,
  reason: Schema.String,
});

/** Decoded form of {@link ConfigurationRevisionSchema}. */
export type ConfigurationRevision = typeof ConfigurationRevisionSchema.Type;

/** A revision with the ids of the answers that it changed. */
export const HistoryEntrySchema = Schema.Struct({
  record: ConfigurationRevisionSchema,
  /** Ids of changed answers, the first ones where there are many. */
  changes: Schema.Array(Schema.NonEmptyString),
  changeCount: Schema.Int,
});

/** Decoded form of {@link HistoryEntrySchema}. */
export type HistoryEntry = typeof HistoryEntrySchema.Type;
