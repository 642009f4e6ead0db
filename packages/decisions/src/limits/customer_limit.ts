import {isSplitOverDaemons} from './customer_share.js';

/**
 * How a daemon enforces a customer's limit that is too small to be split evenly
 * among all daemons.
 */
export enum SmallLimitPolicy {
  /**
   * The daemon enforces nothing. The limit is enforced by the owners of the
   * customer's engines, the daemons that count these engines' requests.
   */
  LEAVE_TO_OWNERS = 'leave-to-owners',
  /**
   * The daemon enforces its equal share rounded up, so that all daemons
   * together may exceed the limit.
   */
  ROUND_UP = 'round-up',
}

/**
 * Limits each customer's requests in flight on this daemon to the daemon's
 * equal share of the customer's limit. The limit itself holds for all daemons
 * together.
 */
export class DaemonShareLimiter {
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly smallLimitPolicy: SmallLimitPolicy) {}

  /**
   * Counts one request as in flight; false if this daemon enforces the limit
   * and the customer has reached the daemon's share.
   *
   * @param maxInFlight the customer's limit over all daemons.
   */
  acquire(customer: string, maxInFlight: number, daemonCount: number): boolean {
    const current = this.inFlight.get(customer) ?? 0;
    const daemonShare = Math.ceil(maxInFlight / Math.max(1, daemonCount));
    if (
      current >= daemonShare &&
      this.isEnforcedHere(maxInFlight, daemonCount)
    ) {
      return false;
    }
    this.inFlight.set(customer, current + 1);
    return true;
  }

  /** Counts one request as ended. */
  release(customer: string): void {
    const current = this.inFlight.get(customer) ?? 0;
    if (current <= 1) this.inFlight.delete(customer);
    else this.inFlight.set(customer, current - 1);
  }

  private isEnforcedHere(maxInFlight: number, daemonCount: number): boolean {
    if (this.smallLimitPolicy === SmallLimitPolicy.ROUND_UP) return true;
    return isSplitOverDaemons(maxInFlight, daemonCount);
  }
}
