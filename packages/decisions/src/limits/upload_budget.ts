/** Bytes of small messages that may be sent at once. */
const BURST_BYTES = 16_384;

/**
 * Limits the bytes that are sent to a rate. In any time a sender sends at most
 * what the rate allows, one burst and one message. A message may be larger than
 * the burst: it is sent as soon as what was sent before leaves room for a burst.
 *
 * Each `nowMs` is in milliseconds of the monotonic clock.
 */
export class UploadBudget {
  /** Bytes that were sent and that the rate does not cover yet. */
  private outstandingBytes = 0;
  private updatedAtMs = 0;

  constructor(private readonly bytesPerSecond: number) {}

  /** Computes the time until a message may be sent, in ms; 0 if it may now. */
  computeWaitMs(nowMs: number): number {
    const excess = this.computeOutstanding(nowMs) - BURST_BYTES;
    return excess <= 0 ? 0 : Math.ceil(this.computeDurationMs(excess));
  }

  /** Records a message that is sent. */
  take(bytes: number, nowMs: number): void {
    this.outstandingBytes = this.computeOutstanding(nowMs) + bytes;
    this.updatedAtMs = nowMs;
  }

  /** Computes the time that a message takes at the rate, in milliseconds. */
  computeDurationMs(bytes: number): number {
    return (bytes * 1000) / this.bytesPerSecond;
  }

  private computeOutstanding(nowMs: number): number {
    const covered = ((nowMs - this.updatedAtMs) * this.bytesPerSecond) / 1000;
    return Math.max(0, this.outstandingBytes - covered);
  }
}
