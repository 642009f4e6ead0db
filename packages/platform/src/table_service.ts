import type {Effect} from 'effect';
import type {PlatformError} from './platform_error.js';
import type {TableRow} from './table_row.js';
import type {Transaction, TransactionResult} from './transaction.js';

/** The platform's transactional table service. */
export abstract class TableService {
  /** Reads rows by key; absent rows are left out. */
  abstract read(
    keys: readonly string[],
  ): Effect.Effect<readonly TableRow[], PlatformError>;

  /** Lists rows of a prefix in key order, after a key, at most `limit`. */
  abstract list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly TableRow[], PlatformError>;

  /** Applies a transaction; UNCERTAIN when it may or may not have applied. */
  abstract transact(
    transaction: Transaction,
  ): Effect.Effect<TransactionResult, PlatformError>;
}
