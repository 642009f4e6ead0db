import {isSplitOverDaemons} from './customer_share.js';

/**
 * Bounds each customer's requests in flight on this daemon by an equal part.
 *
 * A part too coarse to hold the limit bounds nothing: for chats, the owners of
 * the customer's engines hold it then.
 */
export class CustomerLimit {
  private readonly inFlight = new Map<string, number>();

  /** Acquires room for one request unless the customer is at its share. */
  acquire(customer: string, maxInFlight: number, daemonCount: number): boolean {
    const taken = this.inFlight.get(customer) ?? 0;
    const isHeldHere = isSplitOverDaemons(maxInFlight, daemonCount);
    const part = Math.ceil(maxInFlight / Math.max(1, daemonCount));
    if (isHeldHere && taken >= part) return false;
    this.inFlight.set(customer, taken + 1);
    return true;
  }

  /** Releases the room of one request. */
  release(customer: string): void {
    const taken = this.inFlight.get(customer) ?? 0;
    if (taken <= 1) this.inFlight.delete(customer);
    else this.inFlight.set(customer, taken - 1);
  }
}
