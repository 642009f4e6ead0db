import type {Socket} from 'node:net';
import {Effect, Scope, Exit} from 'effect';
import type {Address} from '@greengagecross/common';
import {
  findFreePorts,
  type HttpExchange,
  HttpServer,
} from '@greengagecross/http';

const LIMIT_MS = 60_000;

/** A server whose open connections can go silent while new ones work. */
export class SilentServer {
  readonly used: Socket[] = [];
  private readonly silent = new Set<Socket>();
  private readonly scope = Scope.makeUnsafe();

  private constructor(
    readonly address: Address,
    private readonly answer: (exchange: HttpExchange) => Effect.Effect<void>,
  ) {}

  /** Starts a server that answers every call the same way. */
  static async start(
    answer: (exchange: HttpExchange) => Effect.Effect<void>,
    stallTimeoutMs = LIMIT_MS,
  ): Promise<SilentServer> {
    const [port = 0] = await findFreePorts(1);
    const started = new SilentServer({host: '127.0.0.1', port}, answer);
    const server = new HttpServer(
      {
        address: started.address,
        keepAliveMs: LIMIT_MS,
        headersTimeoutMs: LIMIT_MS,
        requestTimeoutMs: LIMIT_MS,
        stallTimeoutMs,
      },
      exchange => started.handle(exchange),
    );
    await Effect.runPromise(Scope.provide(server.start(), started.scope));
    return started;
  }

  /** Silences every connection that was used so far. */
  setSilent(): void {
    for (const socket of this.used) this.silent.add(socket);
  }

  /** Returns whether the last call came over a connection that still speaks. */
  isLastCallNew(): boolean {
    const last = this.used.at(-1);
    return last !== undefined && !this.silent.has(last);
  }

  /** Closes the listener and its connections. */
  async close(): Promise<void> {
    for (const socket of this.silent) socket.destroy();
    await Effect.runPromise(Scope.close(this.scope, Exit.void));
  }

  private handle(exchange: HttpExchange): Effect.Effect<void> {
    const {socket} = exchange.request;
    this.used.push(socket);
    if (this.silent.has(socket)) {
      socket.pause();
      return Effect.never;
    }
    return this.answer(exchange);
  }
}
