/** A cut counts as a crash if its server is found down so soon after it. */
const CRASH_CONFIRM_MS = 1500;
/** Crashes after which a request is never sent to a server again. */
const CONDEMNED_AT = 3;
/** How long a count is kept; the same request comes again within seconds. */
const KEEP_MS = 120_000;
const MAX_FINGERPRINTS = 2000;

/** How often servers crashed under one request, and when last. */
export interface CrashCount {
  readonly fingerprint: string;
  readonly crashes: number;
  readonly atMs: number;
}

interface Cut {
  readonly fingerprint: string;
  readonly atMs: number;
}

/**
 * Counts, by a request's fingerprint, the servers that crashed while they ran
 * it. A cut connection alone is no crash: the server must be down after it.
 */
export class CrashCounts {
  private readonly counts = new Map<string, CrashCount>();
  private readonly cuts = new Map<string, Cut[]>();

  /** Records that a server's connection ended while it ran a request. */
  recordCut(fingerprint: string, serverId: string, nowMs: number): void {
    const cuts = (this.cuts.get(serverId) ?? []).filter(cut =>
      isRecent(cut, nowMs),
    );
    if (cuts.some(cut => cut.fingerprint === fingerprint)) return;
    cuts.push({fingerprint, atMs: nowMs});
    this.cuts.set(serverId, cuts);
  }

  /** Records that a server is down; lists the requests that count for it. */
  recordDown(serverId: string, nowMs: number): CrashCount[] {
    const cuts = this.cuts.get(serverId);
    if (cuts === undefined) return [];
    this.cuts.delete(serverId);
    return cuts
      .filter(cut => isRecent(cut, nowMs))
      .map(cut => this.addCrash(cut.fingerprint, nowMs));
  }

  /** Clears a request that a server ran to its end. */
  recordWhole(fingerprint: string): void {
    if (this.counts.size === 0) return;
    this.counts.delete(fingerprint);
  }

  /** Takes in what another daemon counted; the larger count stands. */
  observe(fingerprint: string, crashes: number, nowMs: number): void {
    const known = this.counts.get(fingerprint);
    if (known !== undefined && known.crashes >= crashes) return;
    this.put({fingerprint, crashes, atMs: nowMs});
  }

  /** Tells whether a request must not reach any server again. */
  isCondemned(fingerprint: string, nowMs: number): boolean {
    const known = this.counts.get(fingerprint);
    if (known === undefined || known.crashes < CONDEMNED_AT) return false;
    return nowMs - known.atMs < KEEP_MS;
  }

  /** Tells whether nothing is held against any request. */
  isEmpty(): boolean {
    return this.counts.size === 0;
  }

  /** Lists the counts, those that changed last first. */
  list(most: number): CrashCount[] {
    return [...this.counts.values()].reverse().slice(0, most);
  }

  private addCrash(fingerprint: string, nowMs: number): CrashCount {
    const crashes = (this.counts.get(fingerprint)?.crashes ?? 0) + 1;
    return this.put({fingerprint, crashes, atMs: nowMs});
  }

  private put(count: CrashCount): CrashCount {
    // The map's order is the order of change.
    this.counts.delete(count.fingerprint);
    if (this.counts.size >= MAX_FINGERPRINTS) {
      const oldest = this.counts.keys().next().value;
      if (oldest !== undefined) this.counts.delete(oldest);
    }
    this.counts.set(count.fingerprint, count);
    return count;
  }
}

function isRecent(cut: Cut, nowMs: number): boolean {
  return nowMs - cut.atMs < CRASH_CONFIRM_MS;
}
