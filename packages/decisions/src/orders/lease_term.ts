/** Periods of a lease, in milliseconds. */
export interface LeasePeriods {
  /** How long it holds after its last write. */
  readonly leaseMs: number;
  /** Longest that one order may be under way; the holder stops this earlier. */
  readonly orderMs: number;
}

/**
 * One holder's right to give orders, by its own clock.
 *
 * The term counts from before the lease was written, and ends early enough for
 * an order to arrive before anyone else may take the lease.
 */
export class LeaseTerm {
  private untilMs: number;

  constructor(
    private readonly periods: LeasePeriods,
    beforeWriteMs: number,
  ) {
    this.untilMs = this.computeEnd(beforeWriteMs);
  }

  /** Extends the term after a renewal that began at the given time. */
  update(beforeWriteMs: number): void {
    this.untilMs = Math.max(this.untilMs, this.computeEnd(beforeWriteMs));
  }

  /** Tells whether an order may be sent now. */
  isValid(nowMs: number): boolean {
    return nowMs < this.untilMs;
  }

  private computeEnd(beforeWriteMs: number): number {
    return beforeWriteMs + this.periods.leaseMs - this.periods.orderMs;
  }
}
