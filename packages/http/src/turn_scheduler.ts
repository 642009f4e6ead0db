import {TurnBudget, TurnQueue} from '@greengagecross/decisions';

/** A connection that parses requests, or begins to handle one, in its turn. */
export interface TurnTaker {
  /** Does a bounded amount of work; may ask for another turn. */
  takeTurn(): void;
}

/**
 * Gives connections of all listeners their turns on the event loop.
 *
 * While there is little to do, a connection gets its turn at once. Otherwise it
 * waits, and what was accepted before goes on between two batches of turns.
 */
export class TurnScheduler {
  private readonly queue = new TurnQueue<TurnTaker>();
  private readonly budget = new TurnBudget();
  /** Turns that were taken in this iteration of the event loop. */
  private taken = 0;
  private hasAccepted = false;
  private isScheduled = false;
  private iterationStartMs = 0;

  /** Returns whether a turn may be taken at once, and counts it if so. */
  tryAcquire(): boolean {
    if (this.queue.countWaiting() > 0) return false;
    const nowMs = performance.now();
    if (!this.isScheduled) this.iterationStartMs = nowMs;
    if (this.budget.isUsedUp(this.taken, nowMs - this.iterationStartMs)) {
      return false;
    }
    this.taken += 1;
    this.schedule();
    return true;
  }

  /** Records that a listener has accepted a connection. */
  recordAccepted(): void {
    this.hasAccepted = true;
  }

  /**
   * Adds a connection that waits for its turn.
   *
   * @param bytes what it has to parse, in this turn or about
   */
  add(taker: TurnTaker, bytes: number): void {
    this.queue.add(taker, bytes);
    this.schedule();
  }

  /** Removes a connection that has been closed. */
  remove(taker: TurnTaker): void {
    this.queue.remove(taker);
  }

  /** Counts the connections that wait for a turn. */
  countWaiting(): number {
    return this.queue.countWaiting();
  }

  private schedule(): void {
    if (this.isScheduled) return;
    this.isScheduled = true;
    setImmediate(() => this.runTurns());
  }

  private runTurns(): void {
    const startMs = performance.now();
    this.isScheduled = false;
    if (this.taken > 0) this.budget.record(startMs - this.iterationStartMs);
    this.iterationStartMs = startMs;
    this.taken = 0;
    const isSkipped = this.budget.isSkipped(this.hasAccepted);
    this.hasAccepted = false;
    if (!isSkipped) this.takeBatch(startMs);
    if (this.taken > 0 || this.queue.countWaiting() > 0) this.schedule();
  }

  private takeBatch(startMs: number): void {
    while (!this.budget.isUsedUp(this.taken, performance.now() - startMs)) {
      const taker = this.queue.takeNext();
      if (taker === undefined) return;
      this.taken += 1;
      taker.takeTurn();
    }
  }
}

/** Turns of this process; connections of every listener wait for them. */
export const processTurns = new TurnScheduler();
