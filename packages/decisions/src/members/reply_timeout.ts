const HALF_LIFE_MS = 10_000;
const SPARE = 1.25;
/** A reply later than the timeout is taken to have needed this much longer. */
const LATE_FACTOR = 1.5;
const MAX_SLOWNESS = 3;

/**
 * How long a daemon waits for the reply to a heartbeat: longer when replies
 * were slow or missing of late, so that a busy fleet is not taken for dead.
 */
export class ReplyTimeout {
  private slowestMs = 0;
  private atMs = 0;
  private lateAtMs = -Infinity;

  /** @param baseMs shortest timeout, in milliseconds */
  constructor(private readonly baseMs: number) {}

  /** Records how long a reply took, in milliseconds. */
  recordReply(durationMs: number, nowMs: number): void {
    this.slowestMs = Math.max(this.computeSlowestMs(nowMs), durationMs);
    this.atMs = nowMs;
  }

  /** Records that a daemon which may be there did not reply in time. */
  recordLate(nowMs: number): void {
    const timeoutMs = this.computeMs(nowMs);
    // Several that were asked at the same time are one observation.
    if (nowMs - this.lateAtMs < timeoutMs) return;
    this.lateAtMs = nowMs;
    this.recordReply(timeoutMs * LATE_FACTOR, nowMs);
  }

  /** Computes the timeout, in milliseconds. */
  computeMs(nowMs: number): number {
    return Math.round(this.baseMs * this.computeSlowness(nowMs));
  }

  /** Computes how many times longer than usual replies may take, at least 1. */
  computeSlowness(nowMs: number): number {
    const slowness = (SPARE * this.computeSlowestMs(nowMs)) / this.baseMs;
    return Math.min(MAX_SLOWNESS, Math.max(1, slowness));
  }

  private computeSlowestMs(nowMs: number): number {
    return this.slowestMs * 0.5 ** ((nowMs - this.atMs) / HALF_LIFE_MS);
  }
}
