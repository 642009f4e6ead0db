interface RankedItem<T> {
  readonly item: T;
  readonly rank: number;
}

/** Collects the few items of lowest rank without sorting the rest. */
export class LowestRanked<T> {
  private readonly items: RankedItem<T>[] = [];

  /** @param limit the most items that are kept. */
  constructor(private readonly limit: number) {}

  /** Adds an item if its rank is among the lowest; earlier items win ties. */
  add(item: T, rank: number): void {
    const last = this.items.at(-1);
    const isFull = this.items.length >= this.limit;
    if (isFull && last !== undefined && rank >= last.rank) return;
    let index = this.items.length;
    while (index > 0 && (this.items[index - 1]?.rank ?? 0) > rank) index -= 1;
    this.items.splice(index, 0, {item, rank});
    if (this.items.length > this.limit) this.items.pop();
  }

  /** Lists the items, lowest rank first. */
  list(): T[] {
    return this.items.map(ranked => ranked.item);
  }
}
