import {Schema} from 'effect';

/** Most parts asked for in one call. */
export const MAX_PARTS_A_CALL = 64;

/** Parameters of {@link PeerMethod.FETCH_REVISION}. */
export const FetchRevisionSchema = Schema.Struct({});

/** Result of {@link PeerMethod.FETCH_REVISION}. */
export const RevisionAnswerSchema = Schema.Struct({
  /** Record of the revision in force, as JSON; absent before the first. */
  record: Schema.optionalKey(Schema.String),
});

/** Decoded form of {@link RevisionAnswerSchema}. */
export type RevisionAnswer = typeof RevisionAnswerSchema.Type;

/** Parameters of {@link PeerMethod.FETCH_PARTS}. */
export const FetchPartsSchema = Schema.Struct({
  digests: Schema.Array(Schema.NonEmptyString).check(
    Schema.isBetweenLength(1, MAX_PARTS_A_CALL),
  ),
});

/** Decoded form of {@link FetchPartsSchema}. */
export type FetchParts = typeof FetchPartsSchema.Type;

/** Result of {@link PeerMethod.FETCH_PARTS}; some parts may be left out. */
export const PartsAnswerSchema = Schema.Struct({
  parts: Schema.Array(
    Schema.Struct({digest: Schema.NonEmptyString, body: Schema.String}),
  ),
});

/** Decoded form of {@link PartsAnswerSchema}. */
export type PartsAnswer = typeof PartsAnswerSchema.Type;
