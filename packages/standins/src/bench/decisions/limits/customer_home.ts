/** Permits granted to one daemon for one customer. */
interface Allotment {
  permits: number;
  untilMs: number;
}

const LEASE_MS = 10_000;
/** Part of what is left that one request for more may take. */
const GRANT_SHARE = 0.25;

/** A daemon's wish for permits of one customer. */
export interface PermitRequest {
  readonly customer: string;
  /** Daemon that asks. */
  readonly holder: string;
  /** Requests that it has in flight, with the one that it asks for. */
  readonly wanted: number;
  /** The customer's limit over all daemons. */
  readonly maxInFlight: number;
}

/** Permits that a daemon has after asking, and for how long. */
export interface PermitGrant {
  readonly permits: number;
  readonly leaseMs: number;
}

/**
 * Divides customers' limits among the daemons, at each customer's home.
 *
 * Permits are leased: those of a daemon that is gone are free again after the
 * lease, and a holder counts its lease from before it asked.
 */
export class CustomerHome {
  private readonly customers = new Map<string, Map<string, Allotment>>();

  /** Grants permits up to what the other daemons leave of the limit. */
  answer(request: PermitRequest, nowMs: number): PermitGrant {
    const holders = this.findHolders(request.customer, nowMs);
    holders.delete(request.holder);
    let taken = 0;
    for (const {permits} of holders.values()) taken += permits;
    const free = Math.max(0, request.maxInFlight - taken);
    const spare = Math.max(0, free - request.wanted);
    const generous = request.wanted + Math.floor(spare * GRANT_SHARE);
    const permits = Math.min(free, generous);
    const untilMs = nowMs + LEASE_MS;
    if (permits > 0) holders.set(request.holder, {permits, untilMs});
    if (holders.size === 0) this.customers.delete(request.customer);
    else this.customers.set(request.customer, holders);
    return {permits, leaseMs: LEASE_MS};
  }

  /** Counts the customers that hold permits. */
  countCustomers(): number {
    return this.customers.size;
  }

  /** Removes allotments whose lease has ended. */
  removeExpired(nowMs: number): void {
    for (const customer of this.customers.keys()) {
      const holders = this.findHolders(customer, nowMs);
      if (holders.size === 0) this.customers.delete(customer);
    }
  }

  private findHolders(customer: string, nowMs: number): Map<string, Allotment> {
    const holders = this.customers.get(customer) ?? new Map();
    for (const [holder, allotment] of holders) {
      if (allotment.untilMs <= nowMs) holders.delete(holder);
    }
    return holders;
  }
}
