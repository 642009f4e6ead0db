/**
 * Decides when a lease that another daemon holds may be taken: once its row
 * has not changed for a whole lease by this daemon's own clock. No two clocks
 * are compared.
 */
export class LeaseWatch {
  private version = -1;
  private sinceMs = 0;

  constructor(private readonly leaseMs: number) {}

  /** Records the version that stands; tells whether the lease has lapsed. */
  observe(version: number, nowMs: number): boolean {
    if (version !== this.version) {
      this.version = version;
      this.sinceMs = nowMs;
      return false;
    }
    return nowMs - this.sinceMs >= this.leaseMs;
  }
}
