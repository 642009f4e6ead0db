import {Effect, type Result} from 'effect';
import type {BackendError} from '@greengagecross/backend';
import {
  RequestGuard,
  type GuardedAttempt,
  type GuardedRequest,
} from './request_guard.js';

/** A guard that allows every attempt and refuses no request. */
export class PermissiveGuard extends RequestGuard {
  override isCondemned(unused: GuardedRequest): Effect.Effect<boolean> {
    return Effect.succeed(false);
  }

  override run<A>(
    unused: GuardedRequest,
    attempt: GuardedAttempt<A>,
  ): Effect.Effect<Result.Result<A, BackendError> | undefined> {
    return attempt.run;
  }
}
