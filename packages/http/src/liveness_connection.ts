import {connect, type Socket} from 'node:net';
import {Effect, type Scope} from 'effect';
import type {Address} from '@greengagecross/common';

/** Connection without traffic that detects when the process at its end exits. */
export class LivenessConnection {
  private closedAtMs = Number.POSITIVE_INFINITY;

  private constructor(private readonly socket: Socket) {
    socket.once('close', () => {
      this.closedAtMs = performance.now();
    });
    // Node reports that the other end closed only while the socket is read.
    socket.resume();
  }

  /**
   * Opens a connection that is closed with the scope; undefined if it cannot
   * be opened within `timeoutMs`.
   */
  static open(
    address: Address,
    timeoutMs: number,
  ): Effect.Effect<LivenessConnection | undefined, never, Scope.Scope> {
    return Effect.acquireRelease(
      LivenessConnection.startConnecting(address, timeoutMs),
      connection => Effect.sync(() => connection?.socket.destroy()),
    );
  }

  private static startConnecting(
    {host, port}: Address,
    timeoutMs: number,
  ): Effect.Effect<LivenessConnection | undefined> {
    return Effect.callback(resume => {
      const socket = connect({host, port});
      const timer = setTimeout(() => socket.destroy(), timeoutMs);
      socket.on('error', () => undefined);
      socket.once('connect', () => {
        clearTimeout(timer);
        resume(Effect.succeed(new LivenessConnection(socket)));
      });
      socket.once('close', () => {
        clearTimeout(timer);
        resume(Effect.succeed(undefined));
      });
    });
  }

  /**
   * Returns whether the connection was closed at or after `sinceMs`, a time of
   * the monotonic clock (`performance.now()`).
   */
  isClosedSince(sinceMs: number): boolean {
    return this.closedAtMs >= sinceMs && this.closedAtMs < Infinity;
  }
}
