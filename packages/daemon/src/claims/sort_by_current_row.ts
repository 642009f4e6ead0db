import {ABSENT_VERSION, type TableRow} from '@greengagecross/platform';
import type {CommitEntry} from './group_commit.js';

/** Items grouped by what the current state of their rows shows. */
export interface SortedByCurrentRow<T> {
  /** The row holds the item's own value. */
  readonly committed: readonly T[];
  /** The row was changed by another write. */
  readonly refused: readonly {
    readonly item: T;
    /** Undefined when the row is absent. */
    readonly currentRow: TableRow | undefined;
  }[];
  /** The row still has the version expected before the write. */
  readonly undecided: readonly T[];
}

/** Sorts items by their current rows; a row missing in `rows` is absent. */
export function sortByCurrentRow<T>(
  items: readonly T[],
  getEntry: (item: T) => CommitEntry,
  rows: readonly TableRow[],
): SortedByCurrentRow<T> {
  const committed: T[] = [];
  const refused: {item: T; currentRow: TableRow | undefined}[] = [];
  const undecided: T[] = [];
  const byKey = new Map(rows.map(row => [row.key, row]));
  for (const item of items) {
    const {key, version, value} = getEntry(item);
    const row = byKey.get(key);
    if (row?.value === value) committed.push(item);
    else if ((row?.version ?? ABSENT_VERSION) === version) undecided.push(item);
    else refused.push({item, currentRow: row});
  }
  return {committed, refused, undecided};
}
