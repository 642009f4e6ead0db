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
import {HttpError} from './http_error.js';
import {HttpExchange} from './http_exchange.js';
import {HttpFailure} from './http_failure.js';
import {RequestPhase} from './request_phase.js';
import {SocketBytes} from './socket_bytes.js';

/** Answers one exchange; a defect is answered with status 500. */
export type ExchangeHandler = (exchange: HttpExchange) => Effect.Effect<void>;

/** Limits of a listener. */
export interface HttpServerOptions {
  readonly address: Address;
  /** How long an idle connection is kept, in milliseconds. */
  readonly keepAliveMs: number;
  /** How long a caller may take to send its headers, in milliseconds. */
  readonly headersTimeoutMs: number;
  /** How long a caller may take to send a whole request, in milliseconds. */
  readonly requestTimeoutMs: number;
}

const MAX_HEADER_BYTES = 16 * 1024;
const logger = new Logger('http');

/** Listens on one address and runs one fiber for each connection. */
export class HttpServer {
  readonly bytes = new SocketBytes();
  private readonly server: Server;
  private readonly idle = Latch.makeUnsafe(true);
  private readonly queues = new Map<Socket, Queue.Queue<HttpExchange>>();
  private active = 0;
  private isClosing = false;

  constructor(
    private readonly options: HttpServerOptions,
    private readonly handler: ExchangeHandler,
  ) {
    this.server = createServer({
      maxHeaderSize: MAX_HEADER_BYTES,
      keepAliveTimeout: options.keepAliveMs,
      headersTimeout: options.headersTimeoutMs,
      requestTimeout: options.requestTimeoutMs,
      connectionsCheckingInterval: options.headersTimeoutMs,
      noDelay: true,
    });
  }

  /** Starts listening; the scope closes the listener and its fibers. */
  start(): Effect.Effect<void, HttpError, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      const runFiber = yield* FiberSet.makeRuntime<never, void, never>();
      this.server.on('connection', (socket: Socket) => {
        this.bytes.add(socket);
        runFiber(this.runConnection(socket));
      });
      this.server.on('request', (request, response) => {
        const queue = this.queues.get(request.socket);
        if (queue === undefined) return;
        Queue.offerUnsafe(queue, new HttpExchange(request, response));
      });
      yield* Effect.acquireRelease(this.listen(), () => this.closeNow());
    });
  }

  /** Stops accepting, then waits until every exchange in flight has ended. */
  stop(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      this.isClosing = true;
      this.server.close();
      this.server.closeIdleConnections();
      yield* this.idle.await;
      this.server.closeIdleConnections();
    });
  }

  /** From now on each reply asks its caller to close the connection. */
  setClosing(): void {
    this.isClosing = true;
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

  /** Serves one connection until it closes, one exchange after the other. */
  private runConnection(socket: Socket): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const queue = yield* Queue.unbounded<HttpExchange>();
      const closed = yield* Deferred.make<void>();
      this.queues.set(socket, queue);
      socket.once('close', () => {
        this.queues.delete(socket);
        Deferred.doneUnsafe(closed, Effect.void);
      });
      const serve = Effect.forever(
        Effect.flatMap(Queue.take(queue), exchange => this.handle(exchange)),
      );
      yield* Effect.raceFirst(serve, Deferred.await(closed));
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
      logger.log('A handler failed.', {cause: Cause.pretty(cause)});
      exchange.sendJson(500, {error: 'internal error'});
      if (!exchange.response.writableEnded) exchange.response.destroy();
    });
  }

  private releaseActive(): void {
    this.active -= 1;
    if (this.active === 0) this.idle.openUnsafe();
  }
}
