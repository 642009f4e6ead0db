import {Effect, type Scope} from 'effect';
import {toError, type Address} from '@greengagecross/common';
import {
  HttpServer,
  type HttpError,
  type HttpExchange,
} from '@greengagecross/http';
import {FaultGate} from './fault_gate.js';
import type {StandinFaults} from './faults.js';

const MAX_BODY_BYTES = 64 * 1024 * 1024;
const KEEP_ALIVE_MS = 60_000;

/** Base of the stand-ins: an HTTP server with faults behind `/control`. */
export abstract class StandinServer {
  readonly gate = new FaultGate();
  readonly server: HttpServer;

  constructor(readonly address: Address) {
    this.server = new HttpServer(
      {
        address,
        keepAliveMs: KEEP_ALIVE_MS,
        headersTimeoutMs: KEEP_ALIVE_MS,
        requestTimeoutMs: KEEP_ALIVE_MS,
      },
      exchange => this.route(exchange),
    );
  }

  /** Starts listening until the scope closes. */
  start(): Effect.Effect<void, HttpError, Scope.Scope> {
    return this.server.start();
  }

  /** Answers one request whose body was read. */
  protected abstract handle(
    exchange: HttpExchange,
    body: Buffer,
  ): Effect.Effect<void>;

  private route(exchange: HttpExchange): Effect.Effect<void> {
    return exchange.readBody(MAX_BODY_BYTES).pipe(
      Effect.flatMap(body => this.dispatch(exchange, body)),
      Effect.catch(() => Effect.void),
    );
  }

  private dispatch(exchange: HttpExchange, body: Buffer): Effect.Effect<void> {
    if (exchange.path === '/control') {
      return Effect.sync(() => this.applyControl(exchange, body));
    }
    if (exchange.path.startsWith('/observe')) {
      return this.handle(exchange, body);
    }
    return this.gate.run(exchange, given => this.handle(given, body));
  }

  private applyControl(exchange: HttpExchange, body: Buffer): void {
    try {
      const changes = JSON.parse(body.toString()) as Partial<StandinFaults>;
      this.gate.set(changes);
      exchange.sendJson(200, this.gate.getFaults());
    } catch (thrown) {
      exchange.sendJson(400, {error: toError(thrown).message});
    }
  }
}
