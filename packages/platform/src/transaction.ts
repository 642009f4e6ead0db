import {Schema} from 'effect';
import {TableRowSchema} from './table_row.js';

/** Version in a condition that requires the row to be absent. */
export const ABSENT_VERSION = 0;

/** Writes and deletes that are applied atomically if every condition holds. */
export const TransactionSchema = Schema.Struct({
  /** Versions that the rows must have; {@link ABSENT_VERSION} if absent. */
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

/** Whether a transaction was applied, and the rows that prevented it. */
export const TransactionResultSchema = Schema.Struct({
  committed: Schema.Boolean,
  /** Current rows whose condition failed; absent rows are left out. */
  conflicts: Schema.Array(TableRowSchema),
});

/** Decoded form of {@link TransactionResultSchema}. */
export type TransactionResult = typeof TransactionResultSchema.Type;
