/**
 * Time that an expired entry stays in use. An entry counts as expired if it was
 * removed during a store outage, or within this time after the outage or after
 * the store returned from an older copy, and the server was not draining. The
 * time begins at a removal during the outage and again at its end: running
 * servers register again within two seconds.
 */
export const EXPIRED_GRACE_MS = 2000;

/**
 * Decides how long entries of backend servers stay in use that the store may
 * have lost. Each `nowMs` is a time on the monotonic clock.
 */
export class ExpiryGrace {
  private isOutage = false;
  private startedAtMs = Number.NEGATIVE_INFINITY;

  /** Records that the store is unreachable. */
  setUnreachable(): void {
    this.isOutage = true;
  }

  /**
   * Records that the store is reachable.
   *
   * @return whether that ended an outage, which starts the grace
   */
  setReachable(nowMs: number): boolean {
    if (!this.isOutage) return false;
    this.isOutage = false;
    this.start(nowMs);
    return true;
  }

  /** Starts the grace: the store may have lost entries until now. */
  start(nowMs: number): void {
    this.startedAtMs = nowMs;
  }

  /** Returns whether an entry removed now counts as expired. */
  isActive(nowMs: number): boolean {
    return this.isOutage || nowMs - this.startedAtMs < EXPIRED_GRACE_MS;
  }

  /** Computes until when an entry that expires now stays in use. */
  computeEndMs(nowMs: number): number {
    const sinceMs = this.isOutage ? nowMs : this.startedAtMs;
    return sinceMs + EXPIRED_GRACE_MS;
  }
}
