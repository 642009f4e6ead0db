import {Schema} from 'effect';

/** One row of the table service. */
export const TableRowSchema = Schema.Struct({
  key: Schema.NonEmptyString,
  value: Schema.String,
  /** Increases by one with each write of the row, from 1. */
  version: Schema.Int,
});

/** Decoded form of {@link TableRowSchema}. */
export type TableRow = typeof TableRowSchema.Type;
