const MILLISECONDS_PATTERN = /^\d{1,12}$/;

/**
 * The time after which a request's answer is of no more use to its caller.
 * Times are milliseconds since the epoch.
 */
export class RequestDeadline {
  private constructor(private readonly dueAtMs: number) {}

  /**
   * Makes the deadline of a request from the time that its caller allows.
   *
   * @param requested milliseconds as sent by the caller; ignored unless it is a
   *     whole number of 1 to 12 digits.
   * @param maxMs the longest time that the service allows; also the default.
   */
  static make(
    requested: string | undefined,
    maxMs: number,
    arrivedAtMs: number,
  ): RequestDeadline {
    const isValid =
      requested !== undefined && MILLISECONDS_PATTERN.test(requested);
    const durationMs = isValid ? Math.min(Number(requested), maxMs) : maxMs;
    return new RequestDeadline(arrivedAtMs + durationMs);
  }

  /** Computes the remaining time, in milliseconds; 0 after the deadline. */
  computeRemainingMs(nowMs: number): number {
    return Math.max(0, this.dueAtMs - nowMs);
  }
}
