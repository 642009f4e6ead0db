import {isSplitOverDaemons} from './customer_share.js';

/** What a daemon does where its equal part is too coarse to hold a limit. */
export enum CoarsePart {
  /** Bounds nothing: the owners of the customer's engines hold the limit. */
  LEAVE_TO_OWNERS = 'leave-to-owners',
  /** Admits the part rounded up, so that all daemons may exceed the limit. */
  ROUND_UP = 'round-up',
}

/** Bounds each customer's requests in flight on this daemon by an equal part. */
export class CustomerLimit {
  private readonly inFlight = new Map<string, number>();

  constructor(private readonly coarsePart: CoarsePart) {}

  /** Acquires room for one request unless the customer is at its part. */
  acquire(customer: string, maxInFlight: number, daemonCount: number): boolean {
    const taken = this.inFlight.get(customer) ?? 0;
    const part = Math.ceil(maxInFlight / Math.max(1, daemonCount));
    if (taken >= part && this.isHeldHere(maxInFlight, daemonCount)) {
      return false;
    }
    this.inFlight.set(customer, taken + 1);
    return true;
  }

  /** Releases the room of one request. */
  release(customer: string): void {
    const taken = this.inFlight.get(customer) ?? 0;
    if (taken <= 1) this.inFlight.delete(customer);
    else this.inFlight.set(customer, taken - 1);
  }

  private isHeldHere(maxInFlight: number, daemonCount: number): boolean {
    if (this.coarsePart === CoarsePart.ROUND_UP) return true;
    return isSplitOverDaemons(maxInFlight, daemonCount);
  }
}
