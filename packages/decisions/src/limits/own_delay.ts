/** Time between samples, in milliseconds; one says nothing after the next. */
export const OWN_DELAY_SAMPLE_MS = 100;
/** Delays of a daemon that is merely busy, in milliseconds. */
const USUAL_DELAY_MS = 50;
/** Share of a request's time after whose loss another daemon serves it better. */
const REFUSED_SHARE = 0.5;

/**
 * Estimates how long requests wait in a daemon that is short of processor time
 * before it reads them: as long as its own timers come late.
 */
export class OwnDelay {
  private delayMs = 0;
  private sampledAtMs = Number.NEGATIVE_INFINITY;

  /** Takes in a sample, which was due one interval after the last one. */
  sample(nowMs: number): void {
    const dueAtMs = this.sampledAtMs + OWN_DELAY_SAMPLE_MS;
    this.sampledAtMs = nowMs;
    const lateMs = Number.isFinite(dueAtMs) ? nowMs - dueAtMs : 0;
    this.delayMs = lateMs > USUAL_DELAY_MS ? lateMs : 0;
  }

  /** Gets the delay that a request read now has had, in milliseconds. */
  getDelayMs(): number {
    return this.delayMs;
  }

  /** Tells whether a request lost too much of its time before it was read. */
  isTooLate(budgetMs: number): boolean {
    return this.delayMs > REFUSED_SHARE * budgetMs;
  }
}
