import type {Effect, Result} from 'effect';
import type {BackendError} from '@greengagecross/backend';
import type {BackendServer} from '@greengagecross/common';
import type {RequestDeadline} from '@greengagecross/decisions';
import type {FingerprintParts} from './make_fingerprint.js';

/** A request that is checked whether it may crash backend servers. */
export interface GuardedRequest {
  readonly requestId: string;
  readonly fingerprintParts: FingerprintParts;
  readonly deadline: RequestDeadline;
  /** Returns whether the caller has a part of the answer; absent for never. */
  readonly hasAnswerBegun?: () => boolean;
}

/** One attempt of a guarded request on one backend server. */
export interface GuardedAttempt<A> {
  readonly attemptId: string;
  readonly server: BackendServer;
  /** Result is undefined when the backend server was not tried. */
  readonly run: Effect.Effect<Result.Result<A, BackendError> | undefined>;
}

/** Limits how many backend servers a request can crash. */
export abstract class RequestGuard {
  /** Returns whether a request is condemned and must not run. */
  abstract isCondemned(request: GuardedRequest): Effect.Effect<boolean>;

  /**
   * Runs an attempt if the state of its request allows it; undefined when the
   * attempt was not run.
   */
  abstract run<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
  ): Effect.Effect<Result.Result<A, BackendError> | undefined>;
}
