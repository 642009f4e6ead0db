/** Counts this daemon's requests in flight by backend server. */
export class InFlight {
  private readonly counts = new Map<string, number>();

  /** Adds one request. */
  add(serverId: string): void {
    this.counts.set(serverId, this.count(serverId) + 1);
  }

  /** Removes one request. */
  remove(serverId: string): void {
    const left = this.count(serverId) - 1;
    if (left > 0) this.counts.set(serverId, left);
    else this.counts.delete(serverId);
  }

  /** Counts the requests at a server. */
  count(serverId: string): number {
    return this.counts.get(serverId) ?? 0;
  }

  /** Makes a record of all counts, for a heartbeat. */
  toRecord(): Record<string, number> {
    return Object.fromEntries(this.counts);
  }
}
