import {Schema} from 'effect';

/** The record of one accepted configuration; a row of the table service. */
export const ConfigurationRevisionSchema = Schema.Struct({
  /** Rises by one with each acceptance, from 1. */
  revision: Schema.Int,
  /** SHA-256 of the configuration's bytes, in hexadecimal. */
  digest: Schema.NonEmptyString,
  /** SHA-256 of the answers that it was generated from. */
  answersDigest: Schema.NonEmptyString,
  /** Id of the operation that accepted it; sent again after a lost reply. */
  operationId: Schema.NonEmptyString,
  acceptedBy: Schema.NonEmptyString,
  acceptedAtMs: Schema.Int,
  reason: Schema.String,
});

/** Decoded form of {@link ConfigurationRevisionSchema}. */
export type ConfigurationRevision = typeof ConfigurationRevisionSchema.Type;
