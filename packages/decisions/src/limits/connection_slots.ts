/** File descriptors that stay free for files, the store and sockets of UDP. */
const RESERVED_DESCRIPTORS = 200;
/** Smallest useful number of connections of a listener. */
const MIN_CONNECTIONS = 8;
/**
 * A connection without a request is closed before this age only if none is idle:
 * its request may have arrived and not been read yet.
 */
const MIN_UNUSED_MS = 250;
/**
 * Computes how many connections a listener may have, so that descriptors are
 * left for files and for connections to servers, peers and the store.
 *
 * @param maxDescriptors limit of the process
 * @param share share of the listener in what is not reserved
 */
export function computeMaxConnections(
  maxDescriptors: number,
  share: number,
): number {
  const available = maxDescriptors - RESERVED_DESCRIPTORS;
  return Math.max(MIN_CONNECTIONS, Math.floor(available * share));
}

/** A client that sends a body makes progress more often than this. */
const MIN_RECEIVING_MS = 1000;

/**
 * Limits the connections of one listener, and decides which one is closed for a
 * new one.
 *
 * The load is that of clients that open connections without end, or keep many
 * without using them: without a request, with a body that stops halfway, or with
 * a response that they do not read. These are closed first, then those that are
 * idle. A connection whose request is handled is never closed for a new one
 * while its client reads.
 */
export class ConnectionSlots<T> {
  /** When connections without a request so far were added, in that order. */
  private readonly unused = new Map<T, number>();
  /** When the last bytes of unfinished requests came, in that order. */
  private readonly receiving = new Map<T, number>();
  /** Connections between two requests, in the order in which they became so. */
  private readonly idle = new Set<T>();
  private readonly busy = new Set<T>();
  /** Those of the busy ones whose clients do not read. */
  private readonly stalled = new Set<T>();
  private closures = 0;

  constructor(private readonly maxConnections = Infinity) {}

  /**
   * Adds a connection; returns the one that must be closed for it, if any: that
   * is the new one itself if all others have requests in progress.
   *
   * @param nowMs on the monotonic clock
   */
  add(connection: T, nowMs: number): T | undefined {
    if (this.count() < this.maxConnections) {
      this.unused.set(connection, nowMs);
      return undefined;
    }
    this.closures += 1;
    const closed = this.findClosed(nowMs);
    if (closed === undefined) return connection;
    this.remove(closed);
    this.unused.set(connection, nowMs);
    return closed;
  }

  /**
   * Records that bytes of an unfinished request came, which is not handled
   * before its end.
   */
  setReceiving(connection: T, nowMs: number): void {
    if (this.remove(connection)) this.receiving.set(connection, nowMs);
  }

  /** Records that a connection has a request in progress. */
  setBusy(connection: T): void {
    if (this.busy.has(connection)) return;
    if (this.remove(connection)) this.busy.add(connection);
  }

  /** Records whether the client of a connection has stopped to read. */
  setStalled(connection: T, isStalled: boolean): void {
    if (isStalled && this.busy.has(connection)) this.stalled.add(connection);
    else this.stalled.delete(connection);
  }

  /** Records that a connection has no request in progress any more. */
  setIdle(connection: T): void {
    if (this.remove(connection)) this.idle.add(connection);
  }

  /** Removes a connection; returns whether it had a slot. */
  remove(connection: T): boolean {
    this.stalled.delete(connection);
    return (
      this.unused.delete(connection) ||
      this.receiving.delete(connection) ||
      this.idle.delete(connection) ||
      this.busy.delete(connection)
    );
  }

  /** Returns whether a new connection would be refused. */
  isFull(nowMs: number): boolean {
    if (this.count() < this.maxConnections) return false;
    return this.findClosed(nowMs) === undefined;
  }

  /** Counts the connections closed for new ones, or refused, since the start. */
  countClosures(): number {
    return this.closures;
  }

  private count(): number {
    const {unused, receiving, idle, busy} = this;
    return unused.size + receiving.size + idle.size + busy.size;
  }

  /** Finds the connection that is closed for a new one; undefined for none. */
  private findClosed(nowMs: number): T | undefined {
    const [unused] = this.unused;
    const [receiving] = this.receiving;
    const [idle] = this.idle;
    const [stalled] = this.stalled;
    if (isOlder(unused, nowMs - MIN_UNUSED_MS)) return unused?.[0];
    if (isOlder(receiving, nowMs - MIN_RECEIVING_MS)) return receiving?.[0];
    return idle ?? stalled ?? unused?.[0] ?? receiving?.[0];
  }
}

function isOlder<T>(entry: [T, number] | undefined, atMs: number): boolean {
  return entry !== undefined && entry[1] <= atMs;
}
