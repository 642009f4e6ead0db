import {Deferred, Effect} from 'effect';

interface Waiter {
  readonly priority: number;
  readonly ready: Deferred.Deferred<void>;
}

/** Lets a bounded number run at once, the most urgent next. */
export class PriorityGate {
  private running = 0;
  private waiting: Waiter[] = [];

  constructor(private readonly capacity: number) {}

  /** Counts those that run. */
  countRunning(): number {
    return this.running;
  }

  /** Counts those that wait. */
  countWaiting(): number {
    return this.waiting.length;
  }

  /** Runs work once there is room for it. */
  run<A, E>(priority: number, work: Effect.Effect<A, E>): Effect.Effect<A, E> {
    return Effect.acquireUseRelease(
      this.acquire(priority),
      () => work,
      () => Effect.sync(() => this.release()),
    );
  }

  private acquire(priority: number): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.running < this.capacity) {
        this.running += 1;
        return Effect.void;
      }
      const waiter = {priority, ready: Deferred.makeUnsafe<void>()};
      this.waiting.push(waiter);
      this.waiting.sort((a, b) => a.priority - b.priority);
      return Effect.interruptible(Deferred.await(waiter.ready)).pipe(
        Effect.onInterrupt(() => Effect.sync(() => this.remove(waiter))),
      );
    });
  }

  private remove(waiter: Waiter): void {
    const index = this.waiting.indexOf(waiter);
    if (index >= 0) this.waiting.splice(index, 1);
    // It was let in already, so its room goes to the next.
    else this.release();
  }

  private release(): void {
    const next = this.waiting.shift();
    if (next === undefined) this.running -= 1;
    else Deferred.doneUnsafe(next.ready, Effect.void);
  }
}
