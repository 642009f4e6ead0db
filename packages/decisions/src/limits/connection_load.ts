/** Default limit of a process on the bytes that connections hold together. */
const DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024;
/** A client that has made no progress for this long may be closed first. */
const MIN_STALL_MS = 2000;
/**
 * Share of the limit below which a stalled connection is not worth closing
 * while a larger one makes progress.
 */
const MIN_CLOSED_SHARE = 0.001;
/**
 * Share of the limit from which small stalled connections together are worth
 * closing: a crowd of them would otherwise keep the process full.
 */
const MIN_CROWD_SHARE = 0.5;
/**
 * Beyond this multiple of the limit, the largest connections are closed although
 * their clients make progress: slow readers may hold too much together, too.
 */
const HARD_LIMIT_FACTOR = 2;
/**
 * Requests that a client has sent ahead are worth closing its connection from
 * this length: it is that of the longest headers, and one request may wait.
 */
const MIN_AHEAD_BYTES = 16 * 1024;
/**
 * Bodies up to this length are still read while the connections hold too much:
 * those of ordinary clients take little, and are refused for what others hold.
 */
const SMALL_BODY_BYTES = 64 * 1024;
/**
 * Share of the limit from which connections should not read requests ahead: what
 * a crowd reads ahead takes memory and speeds up nobody.
 */
const CROWDED_SHARE = 0.25;

/** What one connection of a client holds in this process. */
export interface ConnectionHolding<T> {
  readonly connection: T;
  /** Unsent response bytes, bodies, and requests that wait, in bytes. */
  readonly heldBytes: number;
  /** Those of the bytes that were sent ahead of the requests in progress. */
  readonly aheadBytes: number;
  /** Time for which the client has made no progress, in milliseconds. */
  readonly stalledMs: number;
}

/**
 * Owns the sum of the bytes that all connections of clients hold in a process,
 * and decides which are closed when memory runs short.
 *
 * The load is that of clients outside of our control: many connections, each
 * within its own limits, that send requests ahead, read no responses or read
 * slowly. The largest holder without progress is closed first, then those that
 * send ahead, so that ordinary clients, which hold little and only briefly, are
 * still served.
 */
export class ConnectionLoad {
  private totalBytes = 0;
  private closures = 0;

  constructor(private limitBytes = DEFAULT_LIMIT_BYTES) {}

  /** Sets the limit, in bytes, for later checks. */
  setLimit(limitBytes: number): void {
    this.limitBytes = limitBytes;
  }

  /**
   * Records what all connections hold, and returns those to close so that the
   * rest is within the limit, in the order in which they are to be closed.
   */
  chooseClosed<T>(holdings: readonly ConnectionHolding<T>[]): T[] {
    this.totalBytes = addBytes(holdings);
    if (this.totalBytes <= this.limitBytes) return [];
    const bySize = [...holdings].sort((a, b) => b.heldBytes - a.heldBytes);
    const minBytes = this.limitBytes * MIN_CLOSED_SHARE;
    const stalled = bySize.filter(({stalledMs}) => stalledMs >= MIN_STALL_MS);
    const large = stalled.filter(({heldBytes}) => heldBytes >= minBytes);
    const small = stalled.filter(({heldBytes}) => heldBytes < minBytes);
    const isCrowd = addBytes(small) > this.limitBytes * MIN_CROWD_SHARE;
    const first = this.takeUntil(isCrowd ? stalled : large, this.limitBytes);
    const ahead = bySize.filter(({aheadBytes}) => aheadBytes > MIN_AHEAD_BYTES);
    const second = this.takeUntil(keepOthers(ahead, first), this.limitBytes);
    const taken = [...first, ...second];
    const others = this.takeUntil(
      keepOthers(bySize, taken),
      this.limitBytes * HARD_LIMIT_FACTOR,
    );
    return [...taken, ...others];
  }

  /** Returns whether the connections held more than the limit at the last check. */
  isFull(): boolean {
    return this.totalBytes > this.limitBytes;
  }

  /**
   * Returns whether a new body is refused.
   *
   * @param bytes length of the body; undefined for an unknown one
   */
  isBodyRefused(bytes: number | undefined): boolean {
    if (!this.isFull() || bytes === 0) return false;
    if (bytes === undefined || bytes > SMALL_BODY_BYTES) return true;
    return this.totalBytes > this.limitBytes * HARD_LIMIT_FACTOR;
  }

  /** Returns whether the connections held a large part of the limit. */
  isCrowded(): boolean {
    return this.totalBytes > this.limitBytes * CROWDED_SHARE;
  }

  /** Returns the bytes that were held after the last check. */
  getHeldBytes(): number {
    return this.totalBytes;
  }

  /** Counts the connections that were chosen to be closed, since the start. */
  countClosures(): number {
    return this.closures;
  }

  /** Takes connections from the first on until the sum is within a limit. */
  private takeUntil<T>(
    holdings: readonly ConnectionHolding<T>[],
    limitBytes: number,
  ): T[] {
    const taken: T[] = [];
    for (const {connection, heldBytes} of holdings) {
      if (this.totalBytes <= limitBytes) break;
      this.totalBytes -= heldBytes;
      this.closures += 1;
      taken.push(connection);
    }
    return taken;
  }
}

function addBytes<T>(holdings: readonly ConnectionHolding<T>[]): number {
  return holdings.reduce((sum, {heldBytes}) => sum + heldBytes, 0);
}

function keepOthers<T>(
  holdings: readonly ConnectionHolding<T>[],
  taken: readonly T[],
): ConnectionHolding<T>[] {
  const excluded = new Set(taken);
  return holdings.filter(({connection}) => !excluded.has(connection));
}
