const MAX_SERVERS = 1000;

/**
 * Servers that crashed and have not replied since, as one daemon knows. The
 * listener of a crashed server may outlive it, as behind a load balancer: what
 * is sent there is cut as well, which shows nothing of the request.
 */
export class CrashedServers {
  /** When crashes were found, by server, on the monotonic clock. */
  private readonly foundAtMs = new Map<string, number>();

  /** Records that a server was found to have crashed. */
  recordCrash(id: string, nowMs: number): void {
    if (this.foundAtMs.size >= MAX_SERVERS) this.foundAtMs.clear();
    this.foundAtMs.set(id, nowMs);
  }

  /** Records that a server replied, whatever its reply was. */
  recordReply(id: string): void {
    this.foundAtMs.delete(id);
  }

  /**
   * Returns whether a request was sent to a server after its crash was found,
   * with no reply of the server since.
   */
  isDown(id: string, sentAtMs: number): boolean {
    return sentAtMs > (this.foundAtMs.get(id) ?? Infinity);
  }
}
