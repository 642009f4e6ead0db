import {Schema} from 'effect';

/** Limit on the number of configuration parts requested in one call. */
export const MAX_PARTS_PER_CALL = 64;

/** Parameters of {@link PeerMethod.FETCH_REVISION}. */
export const FetchRevisionSchema = Schema.Struct({});

/** Result of {@link PeerMethod.FETCH_REVISION}. */
export const RevisionAnswerSchema = Schema.Struct({
  /** JSON record of the current revision; absent before the first one. */
  record: Schema.optionalKey(Schema.String),
});

/** Decoded form of {@link RevisionAnswerSchema}. */
export type RevisionAnswer = typeof RevisionAnswerSchema.Type;

/** Parameters of {@link PeerMethod.FETCH_PARTS}. */
export const FetchPartsSchema = Schema.Struct({
  /** Digests of the requested parts. */
  digests: Schema.Array(Schema.NonEmptyString).check(
    Schema.isBetweenLength(1, MAX_PARTS_PER_CALL),
  ),
});

/** Decoded form of {@link FetchPartsSchema}. */
export type FetchParts = typeof FetchPartsSchema.Type;

/**
 * Result of {@link PeerMethod.FETCH_PARTS}. A part is left out if the peer does
 * not hold it or if it would make the result too large.
 */
export const PartsAnswerSchema = Schema.Struct({
  parts: Schema.Array(
    Schema.Struct({digest: Schema.NonEmptyString, body: Schema.String}),
  ),
});

/** Decoded form of {@link PartsAnswerSchema}. */
export type PartsAnswer = typeof PartsAnswerSchema.Type;
