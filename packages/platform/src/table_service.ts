import type {Effect} from 'effect';
import type {PlatformError} from './platform_error.js';
import type {TableRow} from './table_row.js';
import type {Transaction, TransactionResult} from './transaction.js';

/** The platform's transactional table service. */
export abstract class TableService {
  /** Reads rows by key; the result omits absent rows. */
  abstract read(
    keys: readonly string[],
  ): Effect.Effect<readonly TableRow[], PlatformError>;

  /**
   * Lists rows in ascending order of their keys.
   *
   * @param prefix prefix that every listed key has.
   * @param after lower bound of the keys, exclusive; '' lists from the start.
   * @param limit maximum number of rows.
   */
  abstract list(
    prefix: string,
    after: string,
    limit: number,
  ): Effect.Effect<readonly TableRow[], PlatformError>;

  /**
   * Applies a transaction if all its conditions hold.
   *
   * Fails with UNCERTAIN if the transaction may or may not have been applied.
   */
  abstract transact(
    transaction: Transaction,
  ): Effect.Effect<TransactionResult, PlatformError>;
}
