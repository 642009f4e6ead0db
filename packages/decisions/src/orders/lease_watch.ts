/**
 * Detects that an order lease held by another daemon has expired: the lease's
 * row in the store has not changed for the duration of a lease by this daemon's
 * own clock. Clocks of different daemons are never compared.
 */
export class LeaseWatch {
  private version = -1;
  private unchangedSinceMs = 0;

  constructor(private readonly orderLeaseMs: number) {}

  /**
   * Records the row's current version; returns whether the lease has expired.
   */
  observe(version: number, nowMs: number): boolean {
    if (version !== this.version) {
      this.version = version;
      this.unchangedSinceMs = nowMs;
      return false;
    }
    return nowMs - this.unchangedSinceMs >= this.orderLeaseMs;
  }
}
