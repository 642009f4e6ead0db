/** Durations of the order lease: its holder alone sends orders to engines. */
export interface OrderLeasePeriods {
  /** How long the order lease is valid after its last write. */
  readonly leaseMs: number;
  /**
   * Timeout of one order. The holder stops sending orders this long before
   * its lease expires.
   */
  readonly orderTimeoutMs: number;
}

/**
 * The period in which the holder of the order lease may send orders, by the
 * holder's own clock, in milliseconds since the epoch.
 *
 * The period starts when the write of the lease begins and ends one order
 * timeout before the lease expires, so that the last order arrives before
 * another daemon may take the lease.
 */
export class LeaseTerm {
  private validUntilMs: number;

  constructor(
    private readonly periods: OrderLeasePeriods,
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

  /** Returns whether an order may be sent now. */
  isValid(nowMs: number): boolean {
    return nowMs < this.validUntilMs;
  }

  private computeEnd(writeBeganAtMs: number): number {
    return writeBeganAtMs + this.periods.leaseMs - this.periods.orderTimeoutMs;
  }
}
