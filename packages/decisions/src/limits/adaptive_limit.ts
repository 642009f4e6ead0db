/**
 * A load report that an engine measured itself, with the count of requests in
 * flight that the owner of the engine keeps.
 */
export interface LoadObservation {
  /** Requests that the engine was running, by its report. */
  readonly running: number;
  /** Requests in the engine's own queue, by its report. */
  readonly queued: number;
  /** When the engine measured both, in milliseconds since the epoch. */
  readonly observedAtMs: number;
  /** Requests in flight when the report arrived, by the owner's count. */
  readonly inFlight: number;
}

/** Increase of the limit in one step, as a share of the limit. */
const INCREASE_SHARE = 0.05;

/**
 * Finds how many requests an engine can run at once from its delayed reports.
 *
 * A report with queued requests lowers the limit to the number that the engine
 * was running. A report without queued requests raises the limit by
 * `INCREASE_SHARE`, at least by 1, if the limit is reached. Reports measured
 * before the last change of the limit are ignored, as they do not show its
 * effect.
 */
export class AdaptiveLimit {
  private limit: number;
  private changedAtMs = 0;

  constructor(initialLimit: number) {
    this.limit = initialLimit;
  }

  /**
   * Returns the maximum of requests in flight, a whole number of at least 1.
   */
  getLimit(): number {
    return Math.max(1, Math.floor(this.limit));
  }

  /** Adjusts the limit to a report that has just arrived. */
  observe(report: LoadObservation, nowMs: number): void {
    if (report.observedAtMs <= this.changedAtMs) return;
    if (report.queued > 0) {
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
