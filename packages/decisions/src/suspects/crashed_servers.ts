const MAX_SERVERS = 5000;

/** What is known of one server, on the monotonic clock. */
interface ServerTimes {
  crashedAtMs: number;
  repliedAtMs: number;
}

/**
 * Servers that crashed and have not replied since, as one daemon knows. The
 * listener of a crashed server may outlive it, as behind a load balancer: what
 * is sent there is cut as well, which shows nothing of the request.
 */
export class CrashedServers {
  private readonly times = new Map<string, ServerTimes>();

  /**
   * Records that a server was found to have crashed, here or by another daemon.
   * A crash before the server's last reply here is over.
   */
  recordCrash(id: string, crashedAtMs: number): void {
    const times = this.getTimes(id);
    times.crashedAtMs = Math.max(times.crashedAtMs, crashedAtMs);
  }

  /** Records that a server replied, whatever its reply was. */
  recordReply(id: string, nowMs: number): void {
    this.getTimes(id).repliedAtMs = nowMs;
  }

  /** Returns whether a server has replied to this daemon. */
  hasReplied(id: string): boolean {
    return (this.times.get(id)?.repliedAtMs ?? -Infinity) > -Infinity;
  }

  /**
   * Returns whether a request was sent to a server after its crash was found,
   * with no reply of the server since.
   */
  isDown(id: string, sentAtMs: number): boolean {
    const times = this.times.get(id);
    if (times === undefined || times.repliedAtMs >= times.crashedAtMs) {
      return false;
    }
    return sentAtMs > times.crashedAtMs;
  }

  private getTimes(id: string): ServerTimes {
    const known = this.times.get(id);
    if (known !== undefined) return known;
    const times = {crashedAtMs: -Infinity, repliedAtMs: -Infinity};
    if (this.times.size >= MAX_SERVERS) this.times.clear();
    this.times.set(id, times);
    return times;
  }
}
