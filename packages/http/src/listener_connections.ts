import type {Socket} from 'node:net';
import {Effect, Queue} from 'effect';
import {formatAddress, type Address} from '@greengagecross/common';
import {ConnectionSlots} from '@greengagecross/decisions';
import {AcceptedConnection} from './accepted_connection.js';
import {ConnectionState} from './connection_state.js';
import type {HttpExchange} from './http_exchange.js';
import {ClosureReason, processConnections} from './process_connections.js';
import {RequestReceipt, type ReceiptLimits} from './request_receipt.js';
import {processTurns} from './turn_scheduler.js';

const MAX_CHECK_INTERVAL_MS = 250;
const CHECKS_PER_TIMEOUT = 4;
/** A client that has read nothing for this long may lose its connection. */
const MIN_STALLED_MS = 2000;

/** Limits of the connections of a listener. */
export interface ConnectionLimits extends ReceiptLimits {
  /** Number of connections at a time; unlimited if absent. */
  readonly maxConnections?: number | undefined;
  /** How long a client may read nothing of its reply, in milliseconds. */
  readonly stallTimeoutMs: number;
}

/** Connections of one listener, within its limits. */
export class ListenerConnections {
  private readonly connections = new Map<Socket, AcceptedConnection>();
  private readonly checkIntervalMs: number;
  private readonly slots: ConnectionSlots<AcceptedConnection>;
  /** Connections closed for new ones that are not logged yet. */
  private unloggedClosures = 0;

  constructor(
    private readonly address: Address,
    private readonly limits: ConnectionLimits,
    private readonly getKeepAliveMs: () => number,
    private readonly onOverdue: (connection: AcceptedConnection) => void,
  ) {
    this.checkIntervalMs = computeCheckIntervalMs(limits);
    this.slots = new ConnectionSlots(limits.maxConnections);
  }

  /**
   * Adds a connection that was accepted; undefined if it was closed at once,
   * since the listener has too many with requests in progress.
   */
  add(socket: Socket): AcceptedConnection | undefined {
    processTurns.recordAccepted();
    const connection: AcceptedConnection = new AcceptedConnection(
      socket,
      Effect.runSync(Queue.unbounded<HttpExchange>()),
      this.getKeepAliveMs,
      state => this.setState(connection, state),
      () => processConnections.isCrowded(),
      processTurns,
      new RequestReceipt(this.checkIntervalMs, this.limits),
    );
    const closed = this.slots.add(connection, performance.now());
    if (closed !== undefined) {
      this.unloggedClosures += 1;
      closed.release();
      if (closed === connection) return undefined;
    }
    this.connections.set(socket, connection);
    processConnections.add(connection);
    socket.once('close', () => {
      this.connections.delete(socket);
      this.slots.remove(connection);
      processConnections.remove(connection);
    });
    return connection;
  }

  /** Adds a received request to its connection. */
  addExchange(exchange: HttpExchange): void {
    const connection = this.connections.get(exchange.request.socket);
    connection?.add(exchange);
  }

  /** Returns whether a new connection would be refused. */
  isFull(): boolean {
    return this.slots.isFull(performance.now());
  }

  /** Lists the sockets of all connections. */
  listSockets(): Iterable<Socket> {
    return this.connections.keys();
  }

  /** Finds the connection of a socket. */
  find(socket: Socket): AcceptedConnection | undefined {
    return this.connections.get(socket);
  }

  /**
   * Closes connections whose other end stopped reading its replies, and those
   * that hold most while all of the process hold too much; reports those whose
   * other end takes too long to send a request.
   */
  watch(): Effect.Effect<never> {
    const check = Effect.sync(() => this.check(performance.now()));
    return Effect.forever(
      Effect.andThen(Effect.sleep(this.checkIntervalMs), check),
    );
  }

  /** Sets how long a client may take to send its headers, from now on. */
  setHeadersTimeoutMs(headersTimeoutMs: number): void {
    this.limits.headersTimeoutMs = headersTimeoutMs;
  }

  private check(nowMs: number): void {
    const stalled = [...this.connections.values()].filter(connection => {
      const stalledMs = connection.observe(nowMs);
      this.slots.setStalled(connection, stalledMs >= MIN_STALLED_MS);
      return stalledMs >= this.limits.stallTimeoutMs;
    });
    for (const connection of stalled) connection.close();
    for (const connection of [...this.connections.values()]) {
      if (connection.isOverdue(nowMs)) this.onOverdue(connection);
    }
    this.report(ClosureReason.STALLED, stalled.length);
    this.report(ClosureReason.DESCRIPTORS, this.unloggedClosures);
    this.unloggedClosures = 0;
    processConnections.check(nowMs);
  }

  private setState(
    connection: AcceptedConnection,
    state: ConnectionState,
  ): void {
    switch (state) {
      case ConnectionState.RECEIVING:
        this.slots.setReceiving(connection, performance.now());
        return;
      case ConnectionState.BUSY:
        this.slots.setBusy(connection);
        return;
      case ConnectionState.IDLE:
        this.slots.setIdle(connection);
    }
  }

  private report(reason: ClosureReason, count: number): void {
    if (count === 0) return;
    const listener = formatAddress(this.address);
    processConnections.recordClosures(reason, count, {listener});
  }
}

function computeCheckIntervalMs(limits: ConnectionLimits): number {
  const {stallTimeoutMs, headersTimeoutMs, requestTimeoutMs} = limits;
  const shortestMs = Math.min(
    stallTimeoutMs,
    headersTimeoutMs,
    requestTimeoutMs,
  );
  return Math.min(MAX_CHECK_INTERVAL_MS, shortestMs / CHECKS_PER_TIMEOUT);
}
