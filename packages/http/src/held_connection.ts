import {connect, type Socket} from 'node:net';
import {Effect, type Scope} from 'effect';
import type {Address} from '@greengagecross/common';

/** An open connection that carries nothing and shows when its other end dies. */
export class HeldConnection {
  private closedAtMs = Number.POSITIVE_INFINITY;

  private constructor(private readonly socket: Socket) {
    socket.once('close', () => {
      this.closedAtMs = performance.now();
    });
    // The end of the other side shows only while bytes are read.
    socket.resume();
  }

  /** Opens one until the scope closes; undefined when that fails. */
  static open(
    address: Address,
    timeoutMs: number,
  ): Effect.Effect<HeldConnection | undefined, never, Scope.Scope> {
    return Effect.acquireRelease(
      HeldConnection.startConnecting(address, timeoutMs),
      held => Effect.sync(() => held?.socket.destroy()),
    );
  }

  private static startConnecting(
    {host, port}: Address,
    timeoutMs: number,
  ): Effect.Effect<HeldConnection | undefined> {
    return Effect.callback(resume => {
      const socket = connect({host, port});
      const timer = setTimeout(() => socket.destroy(), timeoutMs);
      socket.on('error', () => undefined);
      socket.once('connect', () => {
        clearTimeout(timer);
        resume(Effect.succeed(new HeldConnection(socket)));
      });
      socket.once('close', () => {
        clearTimeout(timer);
        resume(Effect.succeed(undefined));
      });
    });
  }

  /** Tells whether it was closed at or after a time of `performance.now`. */
  isClosedSince(sinceMs: number): boolean {
    return this.closedAtMs >= sinceMs && this.closedAtMs < Infinity;
  }
}
