import type {SeededRandom} from '@greengagecross/common';

interface ListChange<T> {
  readonly atMs: number;
  readonly value: T;
  /** When each daemon sees it. */
  readonly seenAtMs: readonly number[];
}

/** A list that changes at given times and that each daemon sees later. */
export class LaggedList<T> {
  private readonly changes: ListChange<T>[] = [];
  /** Index of the last change that has happened. */
  private last = -1;

  constructor(
    private readonly first: T,
    private readonly daemons: number,
    private readonly maxLagMs: number,
    private readonly random: SeededRandom,
  ) {}

  /** Adds a change; times must rise. */
  add(atMs: number, value: T): void {
    const seenAtMs = Array.from(
      {length: this.daemons},
      () => atMs + this.random.nextUnit() * this.maxLagMs,
    );
    this.changes.push({atMs, value, seenAtMs});
  }

  /** Returns the list as it truly is; time must not go back. */
  getTrue(nowMs: number): T {
    this.updateLast(nowMs);
    return this.changes[this.last]?.value ?? this.first;
  }

  /** Returns the list as one daemon sees it; time must not go back. */
  getSeen(daemon: number, nowMs: number): T {
    this.updateLast(nowMs);
    for (let index = this.last; index >= 0; index -= 1) {
      const change = this.changes[index];
      if (change === undefined) continue;
      if ((change.seenAtMs[daemon] ?? 0) <= nowMs) return change.value;
    }
    return this.first;
  }

  private updateLast(nowMs: number): void {
    for (;;) {
      const next = this.changes[this.last + 1];
      if (next === undefined || next.atMs > nowMs) return;
      this.last += 1;
    }
  }
}
