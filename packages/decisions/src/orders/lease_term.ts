/** Durations that govern the lease under which engines are sent orders. */
export interface LeasePeriods {
  /** How long the lease is valid after its last write. */
  readonly leaseMs: number;
  /**
   * Timeout of one order. The holder stops sending orders this long before
   * its lease expires.
   */
  readonly orderTimeoutMs: number;
}

/**
 * The period in which the holder of a lease may send orders, by its own clock.
 *
 * The period starts before the lease is written and ends one order timeout
 * before the lease expires, so that the last order arrives before another
 * daemon may take the lease.
 */
export class LeaseTerm {
  private validUntilMs: number;

  constructor(
    private readonly periods: LeasePeriods,
    writeBeganAtMs: number,
  ) {
    this.validUntilMs = this.computeEnd(writeBeganAtMs);
  }

  /** Extends the period after a renewal whose write began at the given time. */
  update(writeBeganAtMs: number): void {
    this.validUntilMs = Math.max(
      this.validUntilMs,
      this.computeEnd(writeBeganAtMs),
    );
  }

  /** Tells whether an order may be sent now. */
  isValid(nowMs: number): boolean {
    return nowMs < this.validUntilMs;
  }

  private computeEnd(writeBeganAtMs: number): number {
    return writeBeganAtMs + this.periods.leaseMs - this.periods.orderTimeoutMs;
  }
}
