interface Event {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

/** Events of virtual time, run in order of time and then of scheduling. */
export class EventQueue {
  private readonly heap: Event[] = [];
  private scheduled = 0;
  private currentMs = 0;

  /** Returns the virtual time, in milliseconds. */
  getNowMs(): number {
    return this.currentMs;
  }

  /** Schedules work after a delay. */
  schedule(delayMs: number, run: () => void): void {
    const atMs = this.currentMs + Math.max(0, delayMs);
    this.scheduled += 1;
    this.put({atMs, order: this.scheduled, run});
  }

  /** Runs events until the given time or until none is left. */
  run(untilMs: number): void {
    for (;;) {
      const next = this.heap[0];
      if (next === undefined || next.atMs > untilMs) break;
      this.removeFirst();
      this.currentMs = next.atMs;
      next.run();
    }
    this.currentMs = untilMs;
  }

  private put(event: Event): void {
    let index = this.heap.length;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = this.heap[parentIndex];
      if (parent === undefined || !isBefore(event, parent)) break;
      this.heap[index] = parent;
      index = parentIndex;
    }
    this.heap[index] = event;
  }

  private removeFirst(): void {
    const last = this.heap.pop();
    if (last === undefined || this.heap.length === 0) return;
    let index = 0;
    for (;;) {
      const child = this.findSmallerChild(index);
      const event = this.heap[child];
      if (event === undefined || !isBefore(event, last)) break;
      this.heap[index] = event;
      index = child;
    }
    this.heap[index] = last;
  }

  private findSmallerChild(index: number): number {
    const left = this.heap[2 * index + 1];
    const right = this.heap[2 * index + 2];
    const isRight =
      left !== undefined && right !== undefined && isBefore(right, left);
    return 2 * index + (isRight ? 2 : 1);
  }
}

function isBefore(a: Event, b: Event): boolean {
  return a.atMs < b.atMs || (a.atMs === b.atMs && a.order < b.order);
}
