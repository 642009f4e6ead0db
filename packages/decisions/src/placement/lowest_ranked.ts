interface RankedItem<T> {
  readonly item: T;
  readonly cost: number;
}

/** Collects the few items of lowest cost without sorting the rest. */
export class LowestRanked<T> {
  private readonly items: RankedItem<T>[] = [];

  /** @param limit the most items that are kept. */
  constructor(private readonly limit: number) {}

  /** Adds an item if its cost is among the lowest; earlier items win ties. */
  add(item: T, cost: number): void {
    const last = this.items.at(-1);
    const isFull = this.items.length >= this.limit;
    if (isFull && last !== undefined && cost >= last.cost) return;
    let index = this.items.length;
    while (index > 0 && (this.items[index - 1]?.cost ?? 0) > cost) index -= 1;
    this.items.splice(index, 0, {item, cost});
    if (this.items.length > this.limit) this.items.pop();
  }

  /** Lists the items, lowest cost first. */
  list(): T[] {
    return this.items.map(ranked => ranked.item);
  }
}
