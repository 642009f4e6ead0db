import {computeSlot} from './part_tree.js';

/** One node of a tree that was read and checked; unchanged ones are shared. */
export class TreeNode<T> {
  private readonly children: ReadonlyMap<number, TreeNode<T>>;
  private readonly size: number;

  /** @param body its bytes, kept to be given to peers. */
  constructor(
    readonly digest: string,
    readonly body: string,
    private readonly items: readonly T[],
    children: readonly (readonly [number, TreeNode<T>])[],
  ) {
    this.children = new Map(children);
    const below = children.reduce((sum, [, child]) => sum + child.size, 0);
    this.size = items.length + below;
  }

  /** Counts the items of the tree. */
  count(): number {
    return this.size;
  }

  /** Finds an item by its id. */
  find(id: string, getId: (item: T) => string): T | undefined {
    let node: TreeNode<T> | undefined = this.getSelf();
    for (let depth = 0; node !== undefined; depth += 1) {
      if (node.children.size === 0) {
        return node.items.find(item => getId(item) === id);
      }
      node = node.children.get(computeSlot(id, depth));
    }
    return undefined;
  }

  /** Lists every item. */
  list(): T[] {
    const below = [...this.children.values()].flatMap(child => child.list());
    return [...this.items, ...below];
  }

  /** Adds this node and those below it to a map by digest. */
  addTo(nodes: Map<string, TreeNode<T>>): void {
    nodes.set(this.digest, this.getSelf());
    for (const child of this.children.values()) child.addTo(nodes);
  }

  private getSelf(): TreeNode<T> {
    return this;
  }
}
