import {ServerResponse} from 'node:http';
import type {Socket} from 'node:net';
import {Effect} from 'effect';
import {HttpExchange} from '@greengagecross/http';
import {NO_FAULTS, type StandinFaults} from './faults.js';

/** Applies a stand-in's faults to the exchanges that pass it. */
export class FaultGate {
  private faults = NO_FAULTS;
  private readonly silent = new WeakSet<Socket>();
  private readonly seen = new Set<Socket>();

  /** Returns the faults now in force. */
  getFaults(): StandinFaults {
    return this.faults;
  }

  /** Sets some faults; silence falls on the connections now open. */
  set(changes: Partial<StandinFaults>): void {
    if (changes.silentOpen === true) {
      for (const socket of this.seen) this.silent.add(socket);
    }
    this.faults = {...this.faults, ...changes};
  }

  /** Runs a handler behind the faults. */
  run(
    exchange: HttpExchange,
    handler: (exchange: HttpExchange) => Effect.Effect<void>,
  ): Effect.Effect<void> {
    const {socket} = exchange.request;
    this.track(socket);
    const {onlyPath} = this.faults;
    if (!exchange.path.startsWith(onlyPath)) return handler(exchange);
    if (this.silent.has(socket)) {
      socket.pause();
      return Effect.never;
    }
    const {down, slowMs} = this.faults;
    const delayed = slowMs > 0 ? Effect.sleep(slowMs) : Effect.void;
    if (down) {
      return Effect.andThen(
        delayed,
        Effect.sync(() => exchange.sendJson(503, {error: 'down'})),
      );
    }
    return Effect.andThen(delayed, this.runWithLoss(exchange, handler));
  }

  private runWithLoss(
    exchange: HttpExchange,
    handler: (exchange: HttpExchange) => Effect.Effect<void>,
  ): Effect.Effect<void> {
    const {loseReplies, holdReplies} = this.faults;
    if (!loseReplies && !holdReplies) return handler(exchange);
    // A response without a socket keeps every byte of the reply back.
    const {request} = exchange;
    const unsent = new HttpExchange(request, new ServerResponse(request));
    const end = loseReplies
      ? Effect.sync(() => request.socket.destroy())
      : Effect.never;
    return Effect.andThen(handler(unsent), end);
  }

  private track(socket: Socket): void {
    if (this.seen.has(socket)) return;
    this.seen.add(socket);
    socket.once('close', () => this.seen.delete(socket));
  }
}
