import {hash32} from '@greengagecross/common';
import {makePart, type Part, type PartSet} from './part.js';

const MAX_LEAF_ITEMS = 16;
const SLOT_BITS = 4;
const HASH_BITS = 32;
const SLOT_MASK = (1 << SLOT_BITS) - 1;

// A leaf of the very same items has the same part; most of a change's have.
const MADE_LEAVES = new WeakMap<object, Leaf>();

interface Leaf {
  readonly items: readonly object[];
  readonly part: Part;
}

interface HashedItem {
  readonly item: object;
  readonly id: string;
  readonly hash: number;
}

/** Computes the child of a node at a depth that an id belongs under. */
export function computeSlot(id: string, depth: number): number {
  return getSlot(hash32(id), depth);
}

/**
 * Splits items into a tree of parts by the hashes of their ids.
 *
 * The tree depends on the items only, not on the order of changes, and one
 * changed item changes one leaf and the nodes above it.
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
    items.length <= MAX_LEAF_ITEMS || depth * SLOT_BITS === HASH_BITS;
  const part = isLeaf
    ? makeLeaf(items.map(({item}) => item))
    : makePart({children: makeChildren(items, depth, parts)});
  parts.push(part);
  return part;
}

function makeLeaf(items: readonly object[]): Part {
  const [first] = items;
  const known = first === undefined ? undefined : MADE_LEAVES.get(first);
  const isKnown =
    known?.items.length === items.length &&
    known.items.every((item, at) => item === items[at]);
  if (isKnown) return known.part;
  const part = makePart({items});
  if (first !== undefined) MADE_LEAVES.set(first, {items, part});
  return part;
}

function makeChildren(
  items: readonly HashedItem[],
  depth: number,
  parts: Part[],
): {slot: number; digest: string}[] {
  const slots: HashedItem[][] = Array.from({length: SLOT_MASK + 1}, () => []);
  for (const item of items) slots[getSlot(item.hash, depth)]?.push(item);
  return slots.flatMap((held, slot) => {
    if (held.length === 0) return [];
    return [{slot, digest: makeNode(held, depth + 1, parts).digest}];
  });
}

function getSlot(hash: number, depth: number): number {
  return (hash >>> (HASH_BITS - SLOT_BITS * (depth + 1))) & SLOT_MASK;
}
