import {Latch} from 'effect';

/** One answer while an engine makes it; readers may join at any event. */
export class Generation {
  readonly events: string[] = [];
  private latch = Latch.makeUnsafe(false);
  private ended = false;

  constructor(readonly attemptId: string) {}

  /** Adds the next event's data. */
  add(data: string): void {
    this.events.push(data);
    this.wake();
  }

  /** Ends the answer. */
  close(): void {
    this.ended = true;
    this.wake();
  }

  /** Returns whether no more events come. */
  isClosed(): boolean {
    return this.ended;
  }

  /** Completes at the next event or the end. */
  waitChange() {
    return this.latch.await;
  }

  private wake(): void {
    const woken = this.latch;
    this.latch = Latch.makeUnsafe(false);
    woken.openUnsafe();
  }
}
