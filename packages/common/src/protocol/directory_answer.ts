import {Schema} from 'effect';

/** Answer to GET /v1/directory: where a caller should send its request. */
export const DirectoryAnswerSchema = Schema.Struct({
  /** `host:port`, best first. If a connection fails, use the next address. */
  addresses: Schema.Array(Schema.NonEmptyString),
  /** How long the caller may cache this answer, in milliseconds. */
  keepMs: Schema.Int,
});

/** Decoded form of {@link DirectoryAnswerSchema}. */
export type DirectoryAnswer = typeof DirectoryAnswerSchema.Type;
