/** Irregular gaps shorter than this are counted as well. */
const MIN_MAX_GAP_MS = 100;
const MAX_GAP_INTERVALS = 2;

/**
 * Measures how long the other end takes to send a message, without the time in
 * which this process did not read: after a suspension of the process or its
 * host, the bytes of a message may wait unread while its time seems over. Used
 * by package `http`.
 */
export class ReceiptTimer {
  private readonly maxGapMs: number;
  private message: number | undefined;
  private observedAtMs: number | undefined;
  private receivingMs = 0;

  /** @param intervalMs time between two calls of {@link isOverdue} */
  constructor(intervalMs: number) {
    this.maxGapMs = Math.max(MIN_MAX_GAP_MS, MAX_GAP_INTERVALS * intervalMs);
  }

  /**
   * Returns whether a message has been incomplete for too long. Must be called
   * repeatedly. A message is never overdue in the first call after a gap, as the
   * bytes that arrived in it may not have been read.
   *
   * @param message number of the incomplete message; undefined for none
   * @param limitMs longest time in which it may be received
   * @param nowMs time of the monotonic clock, in milliseconds
   * @param isReading whether this process reads the connection
   */
  isOverdue(
    message: number | undefined,
    limitMs: number,
    nowMs: number,
    isReading: boolean,
  ): boolean {
    const gapMs = nowMs - (this.observedAtMs ?? nowMs);
    this.observedAtMs = nowMs;
    if (message !== this.message) this.receivingMs = 0;
    const isSame = message === this.message;
    this.message = message;
    if (message === undefined || !isSame) return false;
    if (!isReading || gapMs > this.maxGapMs) return false;
    this.receivingMs += gapMs;
    return this.receivingMs >= limitMs;
  }
}
