import type {
  TableRow,
  Transaction,
  TransactionResult,
} from '@greengagecross/platform';

/** Rows of the stand-in's table service, in memory. */
export class TableState {
  private readonly rows = new Map<string, TableRow>();

  /** Reads rows by key. */
  read(keys: readonly string[]): TableRow[] {
    return keys.flatMap(key => this.rows.get(key) ?? []);
  }

  /** Lists rows of a prefix after a key, in key order. */
  list(prefix: string, after: string, limit: number): TableRow[] {
    return [...this.rows.values()]
      .filter(row => row.key.startsWith(prefix) && row.key > after)
      .sort((a, b) => (a.key < b.key ? -1 : 1))
      .slice(0, limit);
  }

  /** Applies a transaction whole or not at all. */
  transact(transaction: Transaction): TransactionResult {
    const failed = transaction.conditions.filter(
      ({key, version}) => (this.rows.get(key)?.version ?? 0) !== version,
    );
    if (failed.length > 0) {
      const conflicts = this.read(failed.map(condition => condition.key));
      return {committed: false, conflicts};
    }
    for (const {key, value} of transaction.writes) {
      const version = (this.rows.get(key)?.version ?? 0) + 1;
      this.rows.set(key, {key, value, version});
    }
    for (const key of transaction.deletes) this.rows.delete(key);
    return {committed: true, conflicts: []};
  }
}
