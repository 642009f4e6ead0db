import {Logger} from '@greengagecross/common';
import {
  ConnectionLoad,
  type ConnectionHolding,
} from '@greengagecross/decisions';
import {processHeap} from './heap_growth.js';

/** Shortest time between two checks of the sum over all connections. */
const MIN_CHECK_INTERVAL_MS = 200;
const logger = new Logger('http');

/** A connection that counts in the sum. */
export interface HeldConnection {
  /** Returns what the connection held when it was observed last. */
  getHolding(): ConnectionHolding<HeldConnection>;
  /** Closes the connection; its requests in progress are cancelled. */
  close(): void;
}

/** Why a listener closed a connection that its client had left open. */
export enum ClosureReason {
  /** The connections of the process held too much memory. */
  MEMORY = 'memory',
  /** The client read nothing of its response for too long. */
  STALLED = 'stalled',
  /** The listener had as many connections as it may have. */
  DESCRIPTORS = 'descriptors',
}

/** Connections of all listeners of a process. */
export class ProcessConnections {
  private readonly connections = new Set<HeldConnection>();
  private readonly load = new ConnectionLoad();
  private readonly closures = new Map<ClosureReason, number>();
  private checkedAtMs = -Infinity;

  /** Sets how many bytes all connections may hold together. */
  setLimit(limitBytes: number): void {
    this.load.setLimit(limitBytes);
  }

  /** Adds a connection to the sum. */
  add(connection: HeldConnection): void {
    this.connections.add(connection);
  }

  /** Removes a connection from the sum. */
  remove(connection: HeldConnection): void {
    this.connections.delete(connection);
  }

  /**
   * Closes connections if all of them hold too much; does nothing if the last
   * check was shortly before, by another listener.
   */
  check(nowMs: number): void {
    if (nowMs - this.checkedAtMs < MIN_CHECK_INTERVAL_MS) return;
    this.checkedAtMs = nowMs;
    const holdings = [...this.connections].map(connection =>
      connection.getHolding(),
    );
    const closed = this.load.chooseClosed(holdings);
    processHeap.update(this.load.isCrowded());
    if (closed.length === 0) return;
    for (const connection of closed) connection.close();
    this.recordClosures(ClosureReason.MEMORY, closed.length, {
      leftBytes: this.load.getHeldBytes(),
    });
  }

  /** Counts closed connections and writes one line for all of them. */
  recordClosures(
    reason: ClosureReason,
    count: number,
    fields: Readonly<Record<string, string | number>>,
  ): void {
    this.closures.set(reason, this.countClosures(reason) + count);
    logger.log('Connections of clients were closed.', {
      reason,
      closed: count,
      open: this.connections.size,
      ...fields,
    });
  }

  /** Counts the connections closed for a reason, since the start. */
  countClosures(reason: ClosureReason): number {
    return this.closures.get(reason) ?? 0;
  }

  /** Counts the connections that are open. */
  countOpen(): number {
    return this.connections.size;
  }

  /** Returns the bytes that all connections held at the last check. */
  getHeldBytes(): number {
    return this.load.getHeldBytes();
  }

  /**
   * Returns whether a new body is refused, as the connections hold too much.
   *
   * @param bytes length of the body; undefined for an unknown one
   */
  isBodyRefused(bytes: number | undefined): boolean {
    return this.load.isBodyRefused(bytes);
  }

  /** Returns whether they hold so much that none should read ahead. */
  isCrowded(): boolean {
    return this.load.isCrowded();
  }
}

/** Connections of this process; those of every listener count. */
export const processConnections = new ProcessConnections();
