interface Ranked<T> {
  readonly item: T;
  readonly rank: number;
}

/** Keeps the few items of lowest rank without sorting the rest. */
export class ShortList<T> {
  private readonly kept: Ranked<T>[] = [];

  constructor(private readonly limit: number) {}

  /** Adds an item if its rank is among the lowest. */
  add(item: T, rank: number): void {
    const last = this.kept.at(-1);
    const isFull = this.kept.length >= this.limit;
    if (isFull && last !== undefined && rank >= last.rank) return;
    let index = this.kept.length;
    while (index > 0 && (this.kept[index - 1]?.rank ?? 0) > rank) index -= 1;
    this.kept.splice(index, 0, {item, rank});
    if (this.kept.length > this.limit) this.kept.pop();
  }

  /** Lists the items, lowest rank first. */
  list(): T[] {
    return this.kept.map(ranked => ranked.item);
  }
}
