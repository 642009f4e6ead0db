import {ABSENT_VERSION, type TableRow} from '@greengagecross/platform';
import type {CommitEntry} from './group_commit.js';

/** Items by what their rows, as they stand, say of them. */
export interface SortedByStanding<T> {
  /** The row holds the item's own value. */
  readonly committed: readonly T[];
  /** The row holds something else than was expected. */
  readonly refused: readonly {
    readonly item: T;
    readonly standing: TableRow | undefined;
  }[];
  /** The row is still as it was expected before the write. */
  readonly open: readonly T[];
}

/** Sorts items by the rows that stand; a row that is not shown is absent. */
export function sortByStanding<T>(
  items: readonly T[],
  getEntry: (item: T) => CommitEntry,
  rows: readonly TableRow[],
): SortedByStanding<T> {
  const committed: T[] = [];
  const refused: {item: T; standing: TableRow | undefined}[] = [];
  const open: T[] = [];
  const byKey = new Map(rows.map(row => [row.key, row]));
  for (const item of items) {
    const {key, version, value} = getEntry(item);
    const standing = byKey.get(key);
    if (standing?.value === value) committed.push(item);
    else if ((standing?.version ?? ABSENT_VERSION) === version) open.push(item);
    else refused.push({item, standing});
  }
  return {committed, refused, open};
}
