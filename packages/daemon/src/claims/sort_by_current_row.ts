import {ABSENT_VERSION, type TableRow} from '@greengagecross/platform';
import type {ConditionalWrite} from './group_commit.js';

/**
 * Items with one conditional write each, grouped by what the current state of
 * their rows shows.
 */
export interface SortedByCurrentRow<T> {
  /** The row holds the value of the item's write. */
  readonly committed: readonly T[];
  /** Another write changed or deleted the row. */
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
  getWrite: (item: T) => ConditionalWrite,
  rows: readonly TableRow[],
): SortedByCurrentRow<T> {
  const committed: T[] = [];
  const refused: {item: T; currentRow: TableRow | undefined}[] = [];
  const undecided: T[] = [];
  const byKey = new Map(rows.map(row => [row.key, row]));
  for (const item of items) {
    const {key, version, value} = getWrite(item);
    const row = byKey.get(key);
    if (row?.value === value) committed.push(item);
    else if ((row?.version ?? ABSENT_VERSION) === version) undecided.push(item);
    else refused.push({item, currentRow: row});
  }
  return {committed, refused, undecided};
}
