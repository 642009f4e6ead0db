import type {Effect, Result} from 'effect';
import type {BackendError} from '@greengagecross/backend';
import type {BackendServer} from '@greengagecross/common';
import type {RequestDeadline} from '@greengagecross/decisions';
import type {FingerprintParts} from './make_fingerprint.js';

/** A request that may prove to crash backend servers. */
export interface GuardedRequest {
  readonly requestId: string;
  readonly parts: FingerprintParts;
  readonly deadline: RequestDeadline;
}

/** One attempt of a guarded request on one backend server. */
export interface GuardedAttempt<A> {
  readonly attemptId: string;
  readonly server: BackendServer;
  /** Gives undefined when the backend server was not tried. */
  readonly run: Effect.Effect<Result.Result<A, BackendError> | undefined>;
}

/** Keeps a request that crashes backend servers from crashing many. */
export abstract class RequestGuard {
  /** Tells whether a request must not run (again). */
  abstract isCondemned(request: GuardedRequest): Effect.Effect<boolean>;

  /** Runs an attempt as far as what is held against its request allows. */
  abstract run<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
  ): Effect.Effect<Result.Result<A, BackendError> | undefined>;
}
