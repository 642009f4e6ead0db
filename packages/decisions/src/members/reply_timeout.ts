/** A slow reply counts half as much after this time. */
const HALF_LIFE_MS = 10_000;
/** The timeout is this many times the slowest recent reply. */
const MARGIN_FACTOR = 1.25;
/** A reply that timed out is counted as this many times the timeout. */
const TIMED_OUT_REPLY_FACTOR = 1.5;
/** The timeout is at most this many times the base timeout. */
const MAX_SLOWNESS = 3;

/**
 * Timeout for the reply to a heartbeat. Grows after slow or missing replies, so
 * that daemons of a busy fleet are not taken for dead. Times are milliseconds
 * since the epoch.
 */
export class ReplyTimeout {
  private slowestMs = 0;
  private slowestAtMs = 0;
  private lastTimedOutAtMs = -Infinity;

  /** @param baseMs shortest timeout, in milliseconds */
  constructor(private readonly baseMs: number) {}

  /** Records how long a reply took, in milliseconds. */
  recordReply(durationMs: number, nowMs: number): void {
    this.slowestMs = Math.max(this.computeSlowestMs(nowMs), durationMs);
    this.slowestAtMs = nowMs;
  }

  /** Records that a daemon did not reply in time though it may be running. */
  recordTimeout(nowMs: number): void {
    const timeoutMs = this.computeMs(nowMs);
    // Timeouts of heartbeats sent at the same time count as one observation.
    if (nowMs - this.lastTimedOutAtMs < timeoutMs) return;
    this.lastTimedOutAtMs = nowMs;
    this.recordReply(timeoutMs * TIMED_OUT_REPLY_FACTOR, nowMs);
  }

  /** Computes the timeout, in milliseconds. */
  computeMs(nowMs: number): number {
    return Math.round(this.baseMs * this.computeSlowness(nowMs));
  }

  /** Computes the timeout as a multiple of the base timeout, from 1 to 3. */
  computeSlowness(nowMs: number): number {
    const slowness =
      (MARGIN_FACTOR * this.computeSlowestMs(nowMs)) / this.baseMs;
    return Math.min(MAX_SLOWNESS, Math.max(1, slowness));
  }

  /** Computes the duration of the slowest recent reply, decayed by age. */
  private computeSlowestMs(nowMs: number): number {
    return this.slowestMs * 0.5 ** ((nowMs - this.slowestAtMs) / HALF_LIFE_MS);
  }
}
