import {hash32} from '@greengagecross/common';
import {makePart, type Part, type PartSet} from './part.js';

const MAX_LEAF_ITEMS = 16;
const SLOT_BITS = 4;
const HASH_BITS = 32;
const SLOT_MASK = (1 << SLOT_BITS) - 1;

/** Computes the child of a node at a depth that an id belongs under. */
export function computeSlot(id: string, depth: number): number {
  return (hash32(id) >>> (HASH_BITS - SLOT_BITS * (depth + 1))) & SLOT_MASK;
}

/**
 * Splits items into a tree of parts by the hashes of their ids.
 *
 * The tree depends on the items only, not on the order of changes, and one
 * changed item changes one leaf and the nodes above it.
 */
export function makeTree<T>(
  items: readonly T[],
  getId: (item: T) => string,
): PartSet {
  const parts: Part[] = [];
  const sorted = [...items].sort((a, b) => (getId(a) < getId(b) ? -1 : 1));
  const root = makeNode(sorted, getId, 0, parts);
  return {digest: root.digest, parts};
}

function makeNode<T>(
  items: readonly T[],
  getId: (item: T) => string,
  depth: number,
  parts: Part[],
): Part {
  const isLeaf =
    items.length <= MAX_LEAF_ITEMS || depth * SLOT_BITS === HASH_BITS;
  const part = isLeaf
    ? makePart({items})
    : makePart({children: makeChildren(items, getId, depth, parts)});
  parts.push(part);
  return part;
}

function makeChildren<T>(
  items: readonly T[],
  getId: (item: T) => string,
  depth: number,
  parts: Part[],
): {slot: number; digest: string}[] {
  const slots: T[][] = Array.from({length: SLOT_MASK + 1}, () => []);
  for (const item of items) slots[computeSlot(getId(item), depth)]?.push(item);
  return slots.flatMap((held, slot) => {
    if (held.length === 0) return [];
    return [{slot, digest: makeNode(held, getId, depth + 1, parts).digest}];
  });
}
