/** Number of this daemon's requests in flight, by backend server. */
export class InFlightCounter {
  private readonly counts = new Map<string, number>();

  /** Adds one request to a server. */
  add(serverId: string): void {
    this.counts.set(serverId, this.count(serverId) + 1);
  }

  /** Removes one request from a server. */
  remove(serverId: string): void {
    const left = this.count(serverId) - 1;
    if (left > 0) this.counts.set(serverId, left);
    else this.counts.delete(serverId);
  }

  /** Returns the number of requests in flight at a server. */
  count(serverId: string): number {
    return this.counts.get(serverId) ?? 0;
  }

  /** Returns all counts by server id; servers without requests are omitted. */
  toRecord(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }
}
