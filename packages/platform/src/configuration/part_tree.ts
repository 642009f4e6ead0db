import {hash32} from '@greengagecross/common';
import {makePart, type Part, type PartSet} from './part.js';

const MAX_LEAF_ITEMS = 16;
const INDEX_BITS = 4;
const HASH_BITS = 32;
const INDEX_MASK = (1 << INDEX_BITS) - 1;

// Leaf parts by the first item of the leaf. Most leaves hold the same item
// objects after a change, and their parts are reused.
const LEAF_CACHE = new WeakMap<object, Leaf>();

interface Leaf {
  readonly items: readonly object[];
  readonly part: Part;
}

interface HashedItem {
  readonly item: object;
  readonly id: string;
  readonly hash: number;
}

/**
 * Computes the index (0 to 15) of the child that holds an id in a node at a
 * depth. The stored field `slot` holds this index.
 */
export function computeChildIndex(id: string, depth: number): number {
  return getChildIndex(hash32(id), depth);
}

/**
 * Splits items into a tree of parts by the hashes of their ids.
 *
 * The tree depends only on the set of items, not on the order of changes. If
 * one item changes, only its leaf and the nodes above that leaf change.
 */
export function makeTree<T extends object>(
  items: readonly T[],
  getId: (item: T) => string,
): PartSet {
  const parts: Part[] = [];
  const sorted = items
    .map(item => ({item, id: getId(item), hash: hash32(getId(item))}))
    .sort((a, b) => (a.id < b.id ? -1 : 1));
  const root = makeNode(sorted, 0, parts);
  return {digest: root.digest, parts};
}

function makeNode(
  items: readonly HashedItem[],
  depth: number,
  parts: Part[],
): Part {
  const isLeaf =
    items.length <= MAX_LEAF_ITEMS || depth * INDEX_BITS === HASH_BITS;
  const part = isLeaf
    ? makeLeaf(items.map(({item}) => item))
    : makePart({children: makeChildren(items, depth, parts)});
  parts.push(part);
  return part;
}

function makeLeaf(items: readonly object[]): Part {
  const [first] = items;
  const cached = first === undefined ? undefined : LEAF_CACHE.get(first);
  const isCached =
    cached?.items.length === items.length &&
    cached.items.every((item, index) => item === items[index]);
  if (isCached) return cached.part;
  const part = makePart({items});
  if (first !== undefined) LEAF_CACHE.set(first, {items, part});
  return part;
}

function makeChildren(
  items: readonly HashedItem[],
  depth: number,
  parts: Part[],
): {slot: number; digest: string}[] {
  const slots: HashedItem[][] = Array.from({length: INDEX_MASK + 1}, () => []);
  for (const item of items) slots[getChildIndex(item.hash, depth)]?.push(item);
  return slots.flatMap((slotItems, slot) => {
    if (slotItems.length === 0) return [];
    return [{slot, digest: makeNode(slotItems, depth + 1, parts).digest}];
  });
}

function getChildIndex(hash: number, depth: number): number {
  return (hash >>> (HASH_BITS - INDEX_BITS * (depth + 1))) & INDEX_MASK;
}
