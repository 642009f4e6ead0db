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

/**
 * Limits the connections of one listener, and decides which one is closed for a
 * new one.
 *
 * The load is that of clients that open connections without end, or keep many
 * without using them. Closed first is the oldest connection that has sent no
 * request, then the one that has been idle longest. A connection with a request
 * in progress is never closed for a new one.
 */
export class ConnectionSlots<T> {
  /** When connections without a request so far were added, in that order. */
  private readonly unused = new Map<T, number>();
  /** Connections between two requests, in the order in which they became so. */
  private readonly idle = new Set<T>();
  private readonly busy = new Set<T>();
  private closures = 0;

  constructor(private readonly maxConnections = Infinity) {}

  /**
   * Adds a connection; returns the one that must be closed for it, if any: that
   * is the new one itself if all others have requests in progress.
   *
   * @param nowMs on the monotonic clock
   */
  add(connection: T, nowMs: number): T | undefined {
    const count = this.unused.size + this.idle.size + this.busy.size;
    if (count < this.maxConnections) {
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

  /** Records that a connection has a request in progress. */
  setBusy(connection: T): void {
    if (this.remove(connection)) this.busy.add(connection);
  }

  /** Records that a connection has no request in progress any more. */
  setIdle(connection: T): void {
    if (this.remove(connection)) this.idle.add(connection);
  }

  /** Removes a connection; returns whether it had a slot. */
  remove(connection: T): boolean {
    return (
      this.unused.delete(connection) ||
      this.idle.delete(connection) ||
      this.busy.delete(connection)
    );
  }

  /** Finds the connection that is closed for a new one; undefined for none. */
  private findClosed(nowMs: number): T | undefined {
    const [oldest] = this.unused;
    const [idle] = this.idle;
    const isYoung = oldest !== undefined && nowMs - oldest[1] < MIN_UNUSED_MS;
    return isYoung ? (idle ?? oldest[0]) : (oldest?.[0] ?? idle);
  }

  /** Counts the connections closed for new ones, or refused, since the start. */
  countClosures(): number {
    return this.closures;
  }
}
