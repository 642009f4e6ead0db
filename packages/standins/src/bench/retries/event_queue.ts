/** An action scheduled at an absolute virtual time. */
interface TimedAction {
  readonly atMs: number;
  readonly run: () => void;
}

/** A binary heap of actions that runs them in the order of virtual time. */
export class EventQueue {
  private readonly heap: TimedAction[] = [];
  private currentMs = 0;

  /** Returns the current virtual time in milliseconds; starts at 0. */
  getNowMs(): number {
    return this.currentMs;
  }

  /** Schedules an action `delayMs` after the current virtual time. */
  schedule(delayMs: number, run: () => void): void {
    const {heap} = this;
    heap.push({atMs: this.currentMs + delayMs, run});
    let child = heap.length - 1;
    while (child > 0) {
      const parent = (child - 1) >> 1;
      if (!this.isEarlier(child, parent)) return;
      this.setSwapped(child, parent);
      child = parent;
    }
  }

  /** Runs all actions due by `endMs` and sets the virtual time to `endMs`. */
  runUntil(endMs: number): void {
    for (;;) {
      const first = this.heap[0];
      if (first === undefined || first.atMs > endMs) break;
      this.removeFirst();
      this.currentMs = first.atMs;
      first.run();
    }
    this.currentMs = endMs;
  }

  private removeFirst(): void {
    const {heap} = this;
    const last = heap.pop();
    if (last === undefined || heap.length === 0) return;
    heap[0] = last;
    let parent = 0;
    for (;;) {
      const left = 2 * parent + 1;
      if (left >= heap.length) return;
      const right = left + 1;
      const isRight = right < heap.length && this.isEarlier(right, left);
      const child = isRight ? right : left;
      if (!this.isEarlier(child, parent)) return;
      this.setSwapped(child, parent);
      parent = child;
    }
  }

  private isEarlier(a: number, b: number): boolean {
    return (this.heap[a]?.atMs ?? 0) < (this.heap[b]?.atMs ?? 0);
  }

  private setSwapped(a: number, b: number): void {
    const first = this.heap[a];
    const second = this.heap[b];
    if (first === undefined || second === undefined) return;
    this.heap[a] = second;
    this.heap[b] = first;
  }
}
