/** What a reply says of the server that a request was meant for. */
export enum ServerNotice {
  /** It is about to leave the fleet and wants no new requests. */
  LEAVING = 'leaving',
  /** It wants no requests from this daemon for some time. */
  PAUSE = 'pause',
  /** The server at its address has another id. */
  REPLACED = 'replaced',
}

/** Longest pause that is respected; a longer one is most likely an error. */
const MAX_PAUSE_MS = 3_600_000;
/**
 * Time for which a server that was replaced is not asked again. Its entry
 * usually expires sooner; limited because a server may say so in error.
 */
const REPLACED_MS = 5000;
/** Servers that left are forgotten, the longest ago first. */
const MAX_SERVERS = 1000;

/** One start of a backend server. */
export interface ServerStart {
  readonly id: string;
  /** In milliseconds since the epoch; differs after a restart. */
  readonly startedAtMs: number;
}

interface NoticeRecord {
  readonly startedAtMs: number;
  isLeaving: boolean;
  pausedUntilMs: number;
  replacedUntilMs: number;
}

/**
 * Holds the notices in replies of backend servers until the server starts anew.
 * Unlike the pauses of `ServerHealth`, which are this daemon's guess, they are
 * the server's own word: it gets no request, even if no other server is left.
 *
 * Used by package `router`; each `nowMs` is in milliseconds of the monotonic
 * clock.
 */
export class ServerNotices {
  private readonly records = new Map<string, NoticeRecord>();

  /**
   * Records that a server is leaving.
   *
   * @return false if that was known
   */
  recordLeaving(server: ServerStart): boolean {
    const record = this.getRecord(server);
    const isNew = !record.isLeaving;
    record.isLeaving = true;
    return isNew;
  }

  /** Records that a server wants no requests for some time. */
  recordPause(server: ServerStart, pauseMs: number, nowMs: number): void {
    const record = this.getRecord(server);
    const untilMs = nowMs + Math.min(pauseMs, MAX_PAUSE_MS);
    record.pausedUntilMs = Math.max(record.pausedUntilMs, untilMs);
  }

  /**
   * Records that the server at this server's address has another id.
   *
   * @return false if that was known
   */
  recordReplaced(server: ServerStart, nowMs: number): boolean {
    const record = this.getRecord(server);
    const isNew = record.replacedUntilMs <= nowMs;
    record.replacedUntilMs = nowMs + REPLACED_MS;
    return isNew;
  }

  /** Returns whether a server takes requests, as far as it said. */
  isAvailable(server: ServerStart, nowMs: number): boolean {
    const record = this.findRecord(server);
    if (record === undefined) return true;
    if (record.isLeaving || record.replacedUntilMs > nowMs) return false;
    return record.pausedUntilMs <= nowMs;
  }

  /**
   * Computes the time until the first of some servers takes requests, in
   * milliseconds; undefined if all of them are leaving or were replaced.
   */
  computeWaitMs(
    servers: readonly ServerStart[],
    nowMs: number,
  ): number | undefined {
    let waitMs: number | undefined;
    for (const server of servers) {
      const record = this.findRecord(server);
      const {
        isLeaving = false,
        replacedUntilMs = nowMs,
        pausedUntilMs = nowMs,
      } = record ?? {};
      if (isLeaving || replacedUntilMs > nowMs) continue;
      const ownMs = Math.max(0, pausedUntilMs - nowMs);
      waitMs = Math.min(waitMs ?? ownMs, ownMs);
    }
    return waitMs;
  }

  /** Counts the servers that are paused now. */
  countPaused(nowMs: number): number {
    let count = 0;
    for (const {pausedUntilMs} of this.records.values()) {
      if (pausedUntilMs > nowMs) count += 1;
    }
    return count;
  }

  private findRecord({id, startedAtMs}: ServerStart): NoticeRecord | undefined {
    const record = this.records.get(id);
    return record?.startedAtMs === startedAtMs ? record : undefined;
  }

  private getRecord(server: ServerStart): NoticeRecord {
    const known = this.findRecord(server);
    if (known !== undefined) return known;
    const {id, startedAtMs} = server;
    const record = {
      startedAtMs,
      isLeaving: false,
      pausedUntilMs: -Infinity,
      replacedUntilMs: -Infinity,
    };
    // Insertion at the end keeps the map in order of the first notice.
    this.records.delete(id);
    this.records.set(id, record);
    if (this.records.size > MAX_SERVERS) {
      const oldest = this.records.keys().next().value;
      if (oldest !== undefined) this.records.delete(oldest);
    }
    return record;
  }
}
