import {Schema} from 'effect';

/** Where a caller should send its request; answer of GET /v1/directory. */
export const DirectoryAnswerSchema = Schema.Struct({
  /** `host:port`, best first; try the next when one cannot be connected to. */
  addresses: Schema.Array(Schema.NonEmptyString),
  /** How long the caller may keep this answer, in milliseconds. */
  keepMs: Schema.Int,
});

/** Decoded form of {@link DirectoryAnswerSchema}. */
export type DirectoryAnswer = typeof DirectoryAnswerSchema.Type;
