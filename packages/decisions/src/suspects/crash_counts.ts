/** A disconnect counts as a crash if the server is down within this time. */
const CRASH_CONFIRM_MS = 1500;
/** Crashes that condemn a request: no server gets it for `CONDEMNED_MS`. */
const CONDEMNED_CRASHES = 3;
/**
 * How long a request stays condemned after its count last changed: long enough
 * for the caller's resends, which follow within seconds.
 */
const CONDEMNED_MS = 120_000;
const MAX_FINGERPRINTS = 2000;

/** Number of servers that crashed while they ran one request. */
export interface CrashCount {
  /** Unkeyed 32-bit hash of the request, by which all daemons identify it. */
  readonly fingerprint: string;
  readonly crashes: number;
  /** When the count last changed, in milliseconds of the monotonic clock. */
  readonly atMs: number;
}

/** A server connection that ended while the server ran a request. */
interface Disconnect {
  readonly fingerprint: string;
  readonly atMs: number;
}

/**
 * Counts, by request fingerprint, the backend servers that crashed while they
 * ran that request. A disconnect alone is no crash: the server must then be
 * down too. Each `nowMs` is in milliseconds of the monotonic clock.
 *
 * Used by package `router`. Three crashes condemn a request, for 120 s after
 * the count last changed. In package `daemon` one crash in a trial condemns;
 * see `SuspectRegistry`.
 */
export class CrashCounts {
  private readonly counts = new Map<string, CrashCount>();
  private readonly disconnectsByServer = new Map<string, Disconnect[]>();

  /** Records that a server's connection ended while it ran a request. */
  recordDisconnect(fingerprint: string, serverId: string, nowMs: number): void {
    const disconnects = (this.disconnectsByServer.get(serverId) ?? []).filter(
      entry => isRecent(entry, nowMs),
    );
    if (disconnects.some(entry => entry.fingerprint === fingerprint)) return;
    disconnects.push({fingerprint, atMs: nowMs});
    this.disconnectsByServer.set(serverId, disconnects);
  }

  /**
   * Records that a server is down; returns the new counts of the requests to
   * which this crash is attributed.
   */
  recordDown(serverId: string, nowMs: number): CrashCount[] {
    const disconnects = this.disconnectsByServer.get(serverId);
    if (disconnects === undefined) return [];
    this.disconnectsByServer.delete(serverId);
    return disconnects
      .filter(entry => isRecent(entry, nowMs))
      .map(entry => this.addCrash(entry.fingerprint, nowMs));
  }

  /** Clears a request that a server completed: removes its count. */
  recordCompleted(fingerprint: string): void {
    if (this.counts.size === 0) return;
    this.counts.delete(fingerprint);
  }

  /** Merges the count of another daemon; the larger count is kept. */
  merge(fingerprint: string, crashes: number, nowMs: number): void {
    const known = this.counts.get(fingerprint);
    if (known !== undefined && known.crashes >= crashes) return;
    this.put({fingerprint, crashes, atMs: nowMs});
  }

  /** Returns whether a request is condemned: no server may get it now. */
  isCondemned(fingerprint: string, nowMs: number): boolean {
    const known = this.counts.get(fingerprint);
    if (known === undefined || known.crashes < CONDEMNED_CRASHES) return false;
    return nowMs - known.atMs < CONDEMNED_MS;
  }

  /** Returns whether there is no count for any request. */
  isEmpty(): boolean {
    return this.counts.size === 0;
  }

  /** Lists at most `limit` counts, the last changed first. */
  list(limit: number): CrashCount[] {
    return [...this.counts.values()].reverse().slice(0, limit);
  }

  private addCrash(fingerprint: string, nowMs: number): CrashCount {
    const crashes = (this.counts.get(fingerprint)?.crashes ?? 0) + 1;
    return this.put({fingerprint, crashes, atMs: nowMs});
  }

  private put(count: CrashCount): CrashCount {
    // Insertion at the end keeps the map in order of change.
    this.counts.delete(count.fingerprint);
    if (this.counts.size >= MAX_FINGERPRINTS) {
      const oldest = this.counts.keys().next().value;
      if (oldest !== undefined) this.counts.delete(oldest);
    }
    this.counts.set(count.fingerprint, count);
    return count;
  }
}

function isRecent(disconnect: Disconnect, nowMs: number): boolean {
  return nowMs - disconnect.atMs < CRASH_CONFIRM_MS;
}
