/** Time between samples; each sample replaces the one before. */
export const EVENT_LOOP_SAMPLE_INTERVAL_MS = 100;
/** Delays up to this occur on any busy daemon and are ignored. */
const NORMAL_DELAY_MS = 50;
/**
 * A request that lost more than this share of its time budget before it was
 * read is served better by another daemon.
 */
const MAX_DELAY_SHARE = 0.5;

/**
 * Estimates how long requests wait before a daemon that is short of processor
 * time reads them. The estimate is the lateness of the daemon's own timer. Used
 * by package `router`.
 */
export class EventLoopDelay {
  private delayMs = 0;
  private sampledAtMs = Number.NEGATIVE_INFINITY;

  /**
   * Records that the timer fired, which was due one sample interval after the
   * previous call.
   *
   * @param nowMs milliseconds of the monotonic clock.
   */
  sample(nowMs: number): void {
    const dueAtMs = this.sampledAtMs + EVENT_LOOP_SAMPLE_INTERVAL_MS;
    this.sampledAtMs = nowMs;
    const lateMs = Number.isFinite(dueAtMs) ? nowMs - dueAtMs : 0;
    this.delayMs = lateMs > NORMAL_DELAY_MS ? lateMs : 0;
  }

  /**
   * Returns the estimated delay of a request read now; 0 for a normal delay.
   */
  getDelayMs(): number {
    return this.delayMs;
  }

  /**
   * Returns whether a request read now has lost too much of its time budget.
   *
   * @param budgetMs time that the request was given when it was sent.
   */
  isTooLate(budgetMs: number): boolean {
    return this.delayMs > MAX_DELAY_SHARE * budgetMs;
  }
}
