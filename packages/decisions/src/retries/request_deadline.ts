const WHOLE_MILLISECONDS = /^\d{1,12}$/;

/** Until when a request's answer is of use to its caller. */
export class RequestDeadline {
  private constructor(private readonly endsAtMs: number) {}

  /**
   * Makes the deadline of a request: what its caller says, at most what its
   * service allows. A text that is no count of milliseconds is ignored.
   */
  static make(
    told: string | undefined,
    maxMs: number,
    arrivedAtMs: number,
  ): RequestDeadline {
    const isTold = told !== undefined && WHOLE_MILLISECONDS.test(told);
    const lengthMs = isTold ? Math.min(Number(told), maxMs) : maxMs;
    return new RequestDeadline(arrivedAtMs + lengthMs);
  }

  /** Computes the time left, in milliseconds; 0 once it has passed. */
  computeLeftMs(nowMs: number): number {
    return Math.max(0, this.endsAtMs - nowMs);
  }
}
