import {createServer, type Server} from 'node:http';
import type {Socket} from 'node:net';
import {
  Cause,
  Deferred,
  Effect,
  FiberSet,
  Latch,
  Queue,
  type Scope,
} from 'effect';
import {formatAddress, Logger, type Address} from '@greengagecross/common';
import type {AcceptedConnection} from './accepted_connection.js';
import {closeIfIdle} from './close_if_idle.js';
import {FailedReceipts} from './failed_receipts.js';
import {DEFAULT_MAX_HEADER_BYTES, HeaderLimit} from './header_limit.js';
import {HttpError} from './http_error.js';
import {HttpExchange} from './http_exchange.js';
import {HttpFailure} from './http_failure.js';
import {ListenerConnections} from './listener_connections.js';
import {RequestPhase} from './request_phase.js';
import type {OutgoingHeaders} from './outgoing_request.js';
import {SocketByteCounter} from './socket_byte_counter.js';

/**
 * Replies to one exchange. If it dies with a defect (an unexpected error), the
 * server replies with status 500.
 */
export type ExchangeHandler = (exchange: HttpExchange) => Effect.Effect<void>;

/**
 * Address and limits of a listener. Its client is a caller, or a peer or
 * operator on the control address.
 */
export interface HttpServerOptions {
  readonly address: Address;
  /** How long an idle connection is kept, in milliseconds. */
  readonly keepAliveMs: number;
  /** How long a client may take to send its headers, in milliseconds. */
  readonly headersTimeoutMs: number;
  /** How long a client may take to send a complete request, in milliseconds. */
  readonly requestTimeoutMs: number;
  /** How long a client may read nothing of its reply, in milliseconds. */
  readonly stallTimeoutMs?: number;
  /** Connections at a time; unlimited if absent. */
  readonly maxConnections?: number | undefined;
  /** Builds headers of the reply to a request that cannot be parsed. */
  readonly buildMalformedHeaders?: () => OutgoingHeaders;
}

/**
 * Time after the last exchange for partly received requests to arrive and for
 * connections to close.
 */
const DRAIN_SETTLE_MS = 1000;
const DEFAULT_STALL_TIMEOUT_MS = 60_000;
const logger = new Logger('http');

/** Listens on one address and runs one fiber for each connection. */
export class HttpServer {
  readonly bytes = new SocketByteCounter();
  private readonly server: Server;
  /** Open while no exchange is in flight. */
  private readonly idle = Latch.makeUnsafe(true);
  private readonly connections: ListenerConnections;
  private readonly failed: FailedReceipts;
  private readonly headerLimit = new HeaderLimit();
  /** Done once the listener and all its connections are closed. */
  private readonly closed = Deferred.makeUnsafe<void>();
  /** Number of exchanges in flight. */
  private active = 0;
  private isClosing = false;
  private keepAliveMs: number;

  constructor(
    private readonly options: HttpServerOptions,
    private readonly handler: ExchangeHandler,
  ) {
    this.keepAliveMs = options.keepAliveMs;
    const {address, maxConnections, headersTimeoutMs, requestTimeoutMs} =
      options;
    const stallTimeoutMs = options.stallTimeoutMs ?? DEFAULT_STALL_TIMEOUT_MS;
    this.failed = new FailedReceipts(
      formatAddress(address),
      () => options.buildMalformedHeaders?.() ?? {},
      this.headerLimit,
    );
    this.connections = new ListenerConnections(
      address,
      {maxConnections, stallTimeoutMs, headersTimeoutMs, requestTimeoutMs},
      () => this.keepAliveMs,
      connection => this.failed.handleOverdue(connection),
    );
    this.server = createServer({
      maxHeaderSize: DEFAULT_MAX_HEADER_BYTES,
      keepAliveTimeout: options.keepAliveMs,
      // Node's own time-outs count time in which the process did not read.
      headersTimeout: 0,
      requestTimeout: 0,
      noDelay: true,
      // TCP keep-alive: probes start once a connection was idle for as long as
      // HTTP keep-alive allows.
      keepAlive: true,
      keepAliveInitialDelay: options.keepAliveMs,
    });
    // Node drops header lines beyond a number; their bytes are limited already.
    this.server.maxHeadersCount = 0;
  }

  /** Starts listening; the scope closes the listener and its fibers. */
  start(): Effect.Effect<void, HttpError, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      // Not a FiberMap keyed by socket: effect would hash every object that is
      // reachable from the socket.
      const runFiber = yield* FiberSet.makeRuntime<never, void, never>();
      this.server.on('connection', (socket: Socket) => {
        this.bytes.add(socket);
        const connection = this.connections.add(socket);
        if (connection !== undefined) runFiber(this.runConnection(connection));
      });
      this.server.on('request', (request, response) => {
        this.connections.addExchange(new HttpExchange(request, response));
      });
      this.server.on('clientError', (error, stream) => {
        const connection = this.connections.find(stream as Socket);
        this.failed.handleError(error, stream as Socket, connection);
      });
      this.server.on('timeout', socket => closeIfIdle(socket));
      yield* Effect.forkScoped(this.connections.watch());
      yield* Effect.acquireRelease(this.listen(), () => this.closeNow());
    });
  }

  /**
   * Stops accepting connections. Returns once all connections are closed, or
   * once {@link DRAIN_SETTLE_MS} have passed since the last exchange ended and
   * no other is in flight. A request that is partly received is thus still
   * answered.
   */
  stop(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      this.isClosing = true;
      if (this.server.listening) {
        this.server.close(() => Deferred.doneUnsafe(this.closed, Effect.void));
      }
      do {
        const settled = Effect.andThen(
          this.idle.await,
          Effect.sleep(DRAIN_SETTLE_MS),
        );
        yield* Effect.raceFirst(Deferred.await(this.closed), settled);
      } while (this.active > 0);
    });
  }

  /** Adds `connection: close` to the reply of each later request. */
  setClosing(): void {
    this.isClosing = true;
  }

  /** Sets how long idle connections are kept, from the next reply on. */
  setKeepAliveMs(keepAliveMs: number): void {
    this.keepAliveMs = keepAliveMs;
    this.server.keepAliveTimeout = keepAliveMs;
  }

  /** Sets how long a client may take to send its headers, from now on. */
  setHeadersTimeoutMs(headersTimeoutMs: number): void {
    this.connections.setHeadersTimeoutMs(headersTimeoutMs);
  }

  /** Sets the limit on the headers of requests; see {@link HeaderLimit.set}. */
  setMaxHeaderBytes(bytes: number): void {
    this.headerLimit.set(this.server, bytes, this.connections.listSockets());
  }

  /** Returns whether new connections are accepted. */
  isListening(): boolean {
    return this.server.listening;
  }

  /** Returns whether a new connection would be refused: all are in use. */
  isFull(): boolean {
    return this.connections.isFull();
  }

  /** Counts the exchanges in flight. */
  countActive(): number {
    return this.active;
  }

  private listen(): Effect.Effect<void, HttpError> {
    const {address} = this.options;
    return Effect.callback<void, HttpError>(resume => {
      this.server.once('error', error =>
        resume(
          Effect.fail(
            new HttpError(
              HttpFailure.LISTEN,
              RequestPhase.NOT_SENT,
              formatAddress(address),
              error,
            ),
          ),
        ),
      );
      this.server.listen(address.port, address.host, () => resume(Effect.void));
    });
  }

  private closeNow(): Effect.Effect<void> {
    return Effect.sync(() => {
      this.server.close();
      this.server.closeAllConnections();
    });
  }

  /** Serves one connection until it closes, one exchange at a time. */
  private runConnection({
    socket,
    queue,
  }: AcceptedConnection): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const connectionClosed = yield* Deferred.make<void>();
      if (socket.destroyed) return;
      socket.once('close', () =>
        Deferred.doneUnsafe(connectionClosed, Effect.void),
      );
      const serve = Effect.forever(
        Effect.flatMap(Queue.take(queue), exchange => this.handle(exchange)),
      );
      yield* Effect.raceFirst(serve, Deferred.await(connectionClosed));
    });
  }

  private handle(exchange: HttpExchange): Effect.Effect<void> {
    this.active += 1;
    this.idle.closeUnsafe();
    if (this.isClosing) exchange.response.setHeader('connection', 'close');
    return this.handler(exchange).pipe(
      Effect.andThen(exchange.waitFinished()),
      Effect.catchCause(cause => this.answerDefect(exchange, cause)),
      Effect.ensuring(Effect.sync(() => this.releaseActive())),
    );
  }

  private answerDefect(
    exchange: HttpExchange,
    cause: Cause.Cause<never>,
  ): Effect.Effect<void> {
    if (Cause.hasInterruptsOnly(cause)) return Effect.interrupt;
    return Effect.sync(() => {
      logger.log(
        'A request handler failed; sending status 500 or closing the connection.',
        {cause: Cause.pretty(cause)},
      );
      exchange.sendJson(500, {error: 'internal error'});
      if (!exchange.response.writableEnded) exchange.response.destroy();
    });
  }

  private releaseActive(): void {
    this.active -= 1;
    if (this.active === 0) this.idle.openUnsafe();
  }
}
