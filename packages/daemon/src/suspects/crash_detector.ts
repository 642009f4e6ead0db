import {Effect, type Scope} from 'effect';
import {BackendFailure, type BackendError} from '@greengagecross/backend';
import type {BackendServer} from '@greengagecross/common';
import {LivenessConnection} from '@greengagecross/http';

/** A crash closes all connections of a process within this time. */
const CLOSE_WINDOW_MS = 1000;
/** A probe connection that stays open for this time shows a live process. */
const PROBE_HOLD_MS = 100;

/** Distinguishes a backend server's crash from the loss of one connection. */
export class CrashDetector {
  constructor(private readonly connectTimeoutMs: number) {}

  /**
   * Opens a second connection to hold during a trial; undefined when it cannot
   * be opened.
   */
  openLivenessConnection(
    server: BackendServer,
  ): Effect.Effect<LivenessConnection | undefined, never, Scope.Scope> {
    return LivenessConnection.open(server, this.connectTimeoutMs);
  }

  /**
   * Returns whether a backend server crashed when an attempt failed: a new
   * connection is not accepted or closes at once, or the liveness connection
   * closed within CLOSE_WINDOW_MS before this check.
   */
  hasCrashed(
    server: BackendServer,
    error: BackendError,
    livenessConnection?: LivenessConnection,
  ): Effect.Effect<boolean> {
    if (!isPossibleCrash(error.failure)) return Effect.succeed(false);
    const sinceMs = performance.now() - CLOSE_WINDOW_MS;
    return Effect.map(
      this.isAcceptingConnections(server),
      isAccepting =>
        !isAccepting || livenessConnection?.isClosedSince(sinceMs) === true,
    );
  }

  /**
   * Returns whether a new connection is accepted and stays open. The listener
   * of a crashed process may briefly outlive its connections.
   */
  private isAcceptingConnections(
    server: BackendServer,
  ): Effect.Effect<boolean> {
    return Effect.scoped(
      Effect.gen({self: this}, function* () {
        const connection = yield* LivenessConnection.open(
          server,
          this.connectTimeoutMs,
        );
        if (connection === undefined) return false;
        yield* Effect.sleep(PROBE_HOLD_MS);
        return !connection.isClosedSince(0);
      }),
    );
  }
}

function isPossibleCrash(kind: BackendFailure): boolean {
  return kind === BackendFailure.DISCONNECTED || kind === BackendFailure.SILENT;
}
