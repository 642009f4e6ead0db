import {Effect, type Scope} from 'effect';
import {BackendFailure, type BackendError} from '@greengagecross/backend';
import type {BackendServer} from '@greengagecross/common';
import {LivenessConnection} from '@greengagecross/http';

/** A crash ends all connections of a process within this time. */
const WITNESS_MS = 1000;
/** A connection still open after this time is held by a live process. */
const PROBE_HOLD_MS = 100;

/** Tells a backend server's crash from the loss of one connection. */
export class CrashDetector {
  constructor(private readonly connectTimeoutMs: number) {}

  /** Holds a second connection during a trial; undefined when it fails. */
  openWitness(
    server: BackendServer,
  ): Effect.Effect<LivenessConnection | undefined, never, Scope.Scope> {
    return LivenessConnection.open(server, this.connectTimeoutMs);
  }

  /**
   * Tells whether a backend server crashed as an attempt failed there: it
   * takes no connections, or a witness was closed with the attempt's own.
   */
  hasCrashed(
    server: BackendServer,
    error: BackendError,
    witness?: LivenessConnection,
  ): Effect.Effect<boolean> {
    if (!isAbrupt(error.failure)) return Effect.succeed(false);
    const sinceMs = performance.now() - WITNESS_MS;
    return Effect.map(
      this.isTakingConnections(server),
      isAlive => !isAlive || witness?.isClosedSince(sinceMs) === true,
    );
  }

  /** A listener may outlive by a moment the connections of its process. */
  private isTakingConnections(server: BackendServer): Effect.Effect<boolean> {
    return Effect.scoped(
      Effect.gen({self: this}, function* () {
        const held = yield* LivenessConnection.open(
          server,
          this.connectTimeoutMs,
        );
        if (held === undefined) return false;
        yield* Effect.sleep(PROBE_HOLD_MS);
        return !held.isClosedSince(0);
      }),
    );
  }
}

function isAbrupt(kind: BackendFailure): boolean {
  return kind === BackendFailure.DISCONNECTED || kind === BackendFailure.SILENT;
}
