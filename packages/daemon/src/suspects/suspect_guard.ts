import {Clock, Effect, Result} from 'effect';
import {BackendError, BackendFailure} from '@greengagecross/backend';
import {Logger, readSteadyMs, SuspectState} from '@greengagecross/common';
import type {SuspectRegistry} from '@greengagecross/decisions';
import type {LivenessConnection} from '@greengagecross/http';
import type {CrashDetector} from './crash_detector.js';
import {makeFingerprint, type FingerprintParts} from './make_fingerprint.js';
import {
  RequestGuard,
  type GuardedAttempt,
  type GuardedRequest,
} from './request_guard.js';
import type {SuspectCatchUp} from './suspect_catch_up.js';
import type {SuspectBroadcaster} from './suspect_broadcaster.js';
import type {TrialPermits} from './trial_permits.js';
import type {TrialVerdicts} from './trial_verdicts.js';

const MIN_PERMIT_WAIT_MS = 25;
const MAX_PERMIT_WAIT_MS = 400;
const logger = new Logger('suspects');

/**
 * A suspect is a request that was in flight when its backend server crashed. It
 * is run only as a trial: alone among suspects on its server. A crash during
 * the trial condemns the request, which is then refused, unless another chat
 * explains it; see `TrialVerdicts`. Package `router` has
 * another rule: `CrashSuspects` condemns after three crashes.
 */
export class SuspectGuard extends RequestGuard {
  private crashes = 0;
  private readonly fingerprints = new WeakMap<FingerprintParts, string>();

  /** @param key secret of the fingerprints, equal on all daemons: the first
   *     ticket key. */
  constructor(
    private readonly key: string,
    private readonly registry: SuspectRegistry,
    private readonly broadcaster: SuspectBroadcaster,
    private readonly catchUp: SuspectCatchUp,
    private readonly permits: TrialPermits,
    private readonly detector: CrashDetector,
    private readonly verdicts: TrialVerdicts,
  ) {
    super();
  }

  /** Counts the requests in flight here at a crash, since the start. */
  countCrashedRequests(): number {
    return this.crashes;
  }

  override isCondemned(request: GuardedRequest): Effect.Effect<boolean> {
    return Effect.gen({self: this}, function* () {
      yield* this.catchUp.waitUntilCurrent();
      const state = yield* this.findState(request);
      if (state !== SuspectState.CONDEMNED) return false;
      const nowMs = yield* Clock.currentTimeMillis;
      const fingerprint = this.getFingerprint(request);
      // The renewed entry is sent, so that peers keep it as long; undefined if
      // no renewal was due.
      const renewed = this.registry.recordRefused(fingerprint, nowMs);
      if (renewed !== undefined) yield* this.broadcaster.send(renewed);
      return true;
    });
  }

  override run<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
  ): Effect.Effect<Result.Result<A, BackendError> | undefined> {
    return Effect.gen({self: this}, function* () {
      const state = yield* this.findState(request);
      if (state === SuspectState.CONDEMNED) return undefined;
      if (state === SuspectState.SUSPECT) {
        return yield* this.runTrial(request, attempt);
      }
      return yield* this.runRecorded(request, attempt);
    });
  }

  private runTrial<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
  ): Effect.Effect<Result.Result<A, BackendError> | undefined> {
    const {service} = request.fingerprintParts;
    const {attemptId} = attempt;
    let isCompleted = false;
    const release = Effect.suspend(() => {
      const cleared = this.getFingerprint(request);
      const trialEnd = isCompleted ? {attemptId, cleared} : {attemptId};
      return this.permits.release(service, trialEnd);
    });
    return Effect.gen({self: this}, function* () {
      if (!(yield* this.waitPermit(request, attempt))) {
        const state = yield* this.findState(request);
        const isAllowed = state === undefined || state === SuspectState.CLEARED;
        return isAllowed
          ? yield* this.runRecorded(request, attempt)
          : undefined;
      }
      const livenessConnection = yield* this.detector.openLivenessConnection(
        attempt.server,
      );
      const result = yield* this.runRecorded(request, attempt, {
        livenessConnection,
      });
      isCompleted = result !== undefined && Result.isSuccess(result);
      return result;
    }).pipe(Effect.scoped, Effect.ensuring(release));
  }

  /**
   * Waits for the permit to run a trial; false once the request is no suspect
   * any more (cleared, condemned or expired) or its deadline has passed.
   */
  private waitPermit<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
  ): Effect.Effect<boolean> {
    const {server, attemptId} = attempt;
    const trial = {
      fingerprint: this.getFingerprint(request),
      backend: server.id,
      attemptId,
    };
    return Effect.gen({self: this}, function* () {
      for (let waitMs = MIN_PERMIT_WAIT_MS; ;) {
        const state = yield* this.findState(request);
        if (state !== SuspectState.SUSPECT) return false;
        const nowMs = yield* Clock.currentTimeMillis;
        // The permit is leased for the time left until the deadline.
        const leaseMs = Math.ceil(request.deadline.computeRemainingMs(nowMs));
        if (leaseMs === 0) return false;
        const {service} = request.fingerprintParts;
        const permitRequest = {...trial, leaseMs};
        if (yield* this.permits.acquire(service, permitRequest)) return true;
        yield* Effect.sleep(waitMs);
        waitMs = Math.min(2 * waitMs, MAX_PERMIT_WAIT_MS);
      }
    });
  }

  /**
   * Runs an attempt and records its outcome. The recording is not interrupted
   * when the caller disconnects.
   */
  private runRecorded<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
    trial?: {readonly livenessConnection: LivenessConnection | undefined},
  ): Effect.Effect<Result.Result<A, BackendError> | undefined> {
    return Effect.uninterruptibleMask(restore =>
      Effect.gen({self: this}, function* () {
        const sentAtMs = readSteadyMs();
        const result = yield* restore(attempt.run);
        if (result === undefined) return undefined;
        if (Result.isSuccess(result)) {
          yield* this.recordCompleted(request);
          return result;
        }
        const {server} = attempt;
        const error = result.failure;
        const livenessConnection = trial?.livenessConnection;
        if (
          !(yield* this.detector.hasCrashed(server, error, livenessConnection))
        ) {
          return result;
        }
        const isCondemned =
          trial !== undefined &&
          (yield* this.verdicts.isToBlame(request, server.id, sentAtMs));
        yield* this.recordCrash(request, attempt, isCondemned);
        return Result.fail(
          new BackendError(BackendFailure.CRASHED, server.id, error),
        );
      }),
    );
  }

  private recordCrash<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
    isCondemned: boolean,
  ): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const fingerprint = this.getFingerprint(request);
      const entry = this.registry.recordCrash(fingerprint, isCondemned, nowMs);
      this.crashes += 1;
      const fields = {
        backend: attempt.server.id,
        request: request.requestId,
        customer: request.fingerprintParts.customer,
        service: request.fingerprintParts.service,
        fingerprint,
      };
      logger.log(
        'A backend server crashed while a request was in flight.',
        fields,
      );
      if (entry.state === SuspectState.CONDEMNED) {
        logger.log('A request is condemned and refused from now on.', fields);
      }
      yield* this.broadcaster.send(entry);
    });
  }

  /**
   * Clears a completed request if it is a suspect. Peers receive the cleared
   * state when they request a trial permit for the same request.
   */
  private recordCompleted(request: GuardedRequest): Effect.Effect<void> {
    if (this.registry.isEmpty()) return Effect.void;
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      this.registry.recordCompleted(this.getFingerprint(request), nowMs);
    });
  }

  private findState(
    request: GuardedRequest,
  ): Effect.Effect<SuspectState | undefined> {
    if (this.registry.isEmpty()) return Effect.undefined;
    return Effect.map(Clock.currentTimeMillis, nowMs =>
      this.registry.getState(this.getFingerprint(request), nowMs),
    );
  }

  private getFingerprint({fingerprintParts: parts}: GuardedRequest): string {
    const known = this.fingerprints.get(parts);
    if (known !== undefined) return known;
    const fingerprint = makeFingerprint(this.key, parts);
    this.fingerprints.set(parts, fingerprint);
    return fingerprint;
  }
}
