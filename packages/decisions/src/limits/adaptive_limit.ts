/** What an engine said of itself, and what its owner counted meanwhile. */
export interface LoadObservation {
  /** Requests that the engine was running. */
  readonly running: number;
  /** Requests that it held back. */
  readonly waiting: number;
  /** When it was so, in milliseconds of the local clock. */
  readonly observedAtMs: number;
  /** Requests in flight by the owner's count, now. */
  readonly inFlight: number;
}

const INCREASE_SHARE = 0.05;

/**
 * Finds how many requests an engine takes at once, from its lagged reports.
 *
 * A report of requests held back lowers the limit to what the engine ran; a
 * report without any, while the limit was reached, raises it a little. What
 * was observed before the last change took effect is not counted again.
 */
export class AdaptiveLimit {
  private limit: number;
  private changedAtMs = 0;

  constructor(initialLimit: number) {
    this.limit = initialLimit;
  }

  /** Gets the most requests that may be in flight; at least 1. */
  getLimit(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Adjusts the limit to a report that has arrived. */
  observe(report: LoadObservation, nowMs: number): void {
    if (report.observedAtMs <= this.changedAtMs) return;
    if (report.waiting > 0) {
      this.set(Math.max(1, report.running), nowMs);
      return;
    }
    if (report.inFlight < this.getLimit()) return;
    this.set(this.limit + Math.max(1, this.limit * INCREASE_SHARE), nowMs);
  }

  private set(limit: number, nowMs: number): void {
    this.limit = limit;
    this.changedAtMs = nowMs;
  }
}
