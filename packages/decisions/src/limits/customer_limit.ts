/** Bounds each customer's requests in flight on this daemon. */
export class CustomerLimit {
  private readonly inFlight = new Map<string, number>();

  /** Acquires room for one request unless the customer is at its share. */
  acquire(customer: string, maxInFlight: number, daemonCount: number): boolean {
    const share = Math.max(
      1,
      Math.ceil(maxInFlight / Math.max(1, daemonCount)),
    );
    const taken = this.inFlight.get(customer) ?? 0;
    if (taken >= share) return false;
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
