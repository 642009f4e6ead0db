import type {PermitGrant} from './customer_home.js';

interface Permits {
  inFlight: number;
  permits: number;
  untilMs: number;
}

/** What a daemon may do with a customer's next request. */
export enum PermitState {
  /** It is within the permits and counted from now on. */
  TAKEN = 'taken',
  /** The customer's home must be asked for permits first. */
  ASK = 'ask',
}

/** Counts customers' requests in flight on one daemon against its permits. */
export class CustomerPermits {
  private readonly customers = new Map<string, Permits>();

  /** Takes a permit if one is free and its lease still runs. */
  take(customer: string, nowMs: number): PermitState {
    const entry = this.customers.get(customer);
    if (entry === undefined) return PermitState.ASK;
    if (entry.untilMs <= nowMs) return PermitState.ASK;
    if (entry.inFlight >= entry.permits) return PermitState.ASK;
    entry.inFlight += 1;
    return PermitState.TAKEN;
  }

  /** Computes how many permits the next request needs. */
  computeWanted(customer: string): number {
    return (this.customers.get(customer)?.inFlight ?? 0) + 1;
  }

  /** Sets what the home granted; the lease counts from before the asking. */
  set(customer: string, grant: PermitGrant, askedAtMs: number): void {
    const inFlight = this.customers.get(customer)?.inFlight ?? 0;
    const untilMs = askedAtMs + grant.leaseMs;
    this.customers.set(customer, {inFlight, permits: grant.permits, untilMs});
  }

  /** Takes room without a permit, when the home cannot be asked. */
  takeUnasked(customer: string, share: number): boolean {
    const entry = this.customers.get(customer);
    const inFlight = entry?.inFlight ?? 0;
    if (inFlight >= share) return false;
    if (entry === undefined) {
      this.customers.set(customer, {inFlight: 1, permits: 0, untilMs: 0});
    } else {
      entry.inFlight += 1;
    }
    return true;
  }

  /** Releases one request; a customer at rest is forgotten after its lease. */
  release(customer: string, nowMs: number): void {
    const entry = this.customers.get(customer);
    if (entry === undefined) return;
    entry.inFlight = Math.max(0, entry.inFlight - 1);
    if (entry.inFlight === 0 && entry.untilMs <= nowMs) {
      this.customers.delete(customer);
    }
  }

  /** Removes customers at rest whose lease has ended. */
  removeExpired(nowMs: number): void {
    for (const [customer, entry] of this.customers) {
      if (entry.inFlight > 0 || entry.untilMs > nowMs) continue;
      this.customers.delete(customer);
    }
  }

  /** Counts the customers that are remembered. */
  count(): number {
    return this.customers.size;
  }
}
