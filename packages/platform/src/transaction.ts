import {Schema} from 'effect';
import {TableRowSchema} from './table_row.js';

/** Version that stands for a row which does not exist. */
export const ABSENT_VERSION = 0;

/** Writes that are applied all or none, if every condition holds. */
export const TransactionSchema = Schema.Struct({
  /** Rows that must have exactly this version. */
  conditions: Schema.Array(
    Schema.Struct({key: Schema.NonEmptyString, version: Schema.Int}),
  ),
  writes: Schema.Array(
    Schema.Struct({key: Schema.NonEmptyString, value: Schema.String}),
  ),
  deletes: Schema.Array(Schema.NonEmptyString),
});

/** Decoded form of {@link TransactionSchema}. */
export type Transaction = typeof TransactionSchema.Type;

/** Whether a transaction was applied, and if not, the rows that differed. */
export const TransactionResultSchema = Schema.Struct({
  committed: Schema.Boolean,
  /** Rows whose condition failed, as they stand; absent rows are left out. */
  conflicts: Schema.Array(TableRowSchema),
});

/** Decoded form of {@link TransactionResultSchema}. */
export type TransactionResult = typeof TransactionResultSchema.Type;
