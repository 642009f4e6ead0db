/** An iteration of the event loop that takes longer delays everyone. */
const LONG_ITERATION_MS = 10;
/** Time after which no further turn begins in an iteration. */
const MAX_BATCH_MS = 5;
/** With fewer turns, the cost of the iteration itself would prevail. */
const MIN_TURNS = 4;
const MAX_TURNS = 64;
const TURNS_STEP = 4;
/** Iterations in a row that may be left to new connections. */
const MAX_SKIPPED = 16;

/**
 * Decides how many turns are given in one iteration of the event loop.
 *
 * What a turn causes (handlers, replies of servers) runs later in the iteration
 * and cannot be measured apart, so the duration of whole iterations counts. The
 * number is halved after a long one and grows slowly after others.
 */
export class TurnBudget {
  private turns = MAX_TURNS;
  private skipped = 0;

  /**
   * Returns whether no further turn may begin in this iteration.
   *
   * @param taken turns that were taken in it
   * @param elapsedMs time since the first of them
   */
  isUsedUp(taken: number, elapsedMs: number): boolean {
    if (taken >= this.turns) return true;
    return taken > 0 && elapsedMs >= MAX_BATCH_MS;
  }

  /**
   * Returns whether an iteration is left without turns. Node accepts one
   * connection in an iteration, so that a new client would wait for as many
   * batches of turns as connections were opened before its own.
   *
   * @param hasAccepted whether a connection was accepted in the last iteration
   */
  isSkipped(hasAccepted: boolean): boolean {
    this.skipped =
      hasAccepted && this.skipped < MAX_SKIPPED ? this.skipped + 1 : 0;
    return this.skipped > 0;
  }

  /** Records the duration of an iteration in which turns were taken. */
  record(durationMs: number): void {
    this.turns =
      durationMs > LONG_ITERATION_MS
        ? Math.max(MIN_TURNS, Math.floor(this.turns / 2))
        : Math.min(MAX_TURNS, this.turns + TURNS_STEP);
  }
}
