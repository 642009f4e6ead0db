import {Clock, Effect, Result} from 'effect';
import {BackendError, BackendFailure} from '@greengagecross/backend';
import {Logger, SuspectState} from '@greengagecross/common';
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
import type {SuspectNews} from './suspect_news.js';
import type {TrialPermits} from './trial_permits.js';

const FIRST_WAIT_MS = 25;
const MAX_WAIT_MS = 400;
const logger = new Logger('suspects');

/** Runs a suspect only as a trial, and a condemned request not at all. */
export class SuspectGuard extends RequestGuard {
  private crashes = 0;
  private readonly fingerprints = new WeakMap<FingerprintParts, string>();

  /** @param key secret that fingerprints are made with. */
  constructor(
    private readonly key: string,
    private readonly book: SuspectRegistry,
    private readonly news: SuspectNews,
    private readonly catchUp: SuspectCatchUp,
    private readonly permits: TrialPermits,
    private readonly detector: CrashDetector,
  ) {
    super();
  }

  /** Counts the requests that were in flight here at a crash. */
  countCrashes(): number {
    return this.crashes;
  }

  override isCondemned(request: GuardedRequest): Effect.Effect<boolean> {
    return Effect.gen({self: this}, function* () {
      yield* this.catchUp.waitFresh();
      const state = yield* this.findState(request);
      if (state !== SuspectState.CONDEMNED) return false;
      const nowMs = yield* Clock.currentTimeMillis;
      const fingerprint = this.getFingerprint(request);
      const renewed = this.book.recordRefused(fingerprint, nowMs);
      if (renewed !== undefined) yield* this.news.send(renewed);
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
      return yield* this.runWatched(request, attempt);
    });
  }

  private runTrial<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
  ): Effect.Effect<Result.Result<A, BackendError> | undefined> {
    const {service} = request.parts;
    const {attemptId} = attempt;
    let isWhole = false;
    const release = Effect.suspend(() => {
      const cleared = this.getFingerprint(request);
      const ended = isWhole ? {attemptId, cleared} : {attemptId};
      return this.permits.release(service, ended);
    });
    return Effect.gen({self: this}, function* () {
      if (!(yield* this.waitPermit(request, attempt))) {
        const state = yield* this.findState(request);
        const isFree = state === undefined || state === SuspectState.CLEARED;
        return isFree ? yield* this.runWatched(request, attempt) : undefined;
      }
      const witness = yield* this.detector.openWitness(attempt.server);
      const result = yield* this.runWatched(request, attempt, {witness});
      isWhole = result !== undefined && Result.isSuccess(result);
      return result;
    }).pipe(Effect.scoped, Effect.ensuring(release));
  }

  /** Waits while another trial stands against this one. */
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
      for (let waitMs = FIRST_WAIT_MS; ;) {
        const state = yield* this.findState(request);
        if (state !== SuspectState.SUSPECT) return false;
        const nowMs = yield* Clock.currentTimeMillis;
        const leaseMs = Math.ceil(request.deadline.computeLeftMs(nowMs));
        if (leaseMs === 0) return false;
        const {service} = request.parts;
        const asked = {...trial, leaseMs};
        if (yield* this.permits.acquire(service, asked)) return true;
        yield* Effect.sleep(waitMs);
        waitMs = Math.min(2 * waitMs, MAX_WAIT_MS);
      }
    });
  }

  /** What follows from an attempt's end is recorded even if its caller left. */
  private runWatched<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
    trial?: {readonly witness: LivenessConnection | undefined},
  ): Effect.Effect<Result.Result<A, BackendError> | undefined> {
    return Effect.uninterruptibleMask(restore =>
      Effect.gen({self: this}, function* () {
        const result = yield* restore(attempt.run);
        if (result === undefined) return undefined;
        if (Result.isSuccess(result)) {
          yield* this.recordWhole(request);
          return result;
        }
        const {server} = attempt;
        const error = result.failure;
        const witness = trial?.witness;
        if (!(yield* this.detector.hasCrashed(server, error, witness))) {
          return result;
        }
        yield* this.recordCrash(request, attempt, trial !== undefined);
        return Result.fail(
          new BackendError(BackendFailure.CRASHED, server.id, error),
        );
      }),
    );
  }

  private recordCrash<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
    isTrial: boolean,
  ): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const fingerprint = this.getFingerprint(request);
      const entry = this.book.recordCrash(fingerprint, isTrial, nowMs);
      this.crashes += 1;
      const fields = {
        backend: attempt.server.id,
        request: request.requestId,
        customer: request.parts.customer,
        service: request.parts.service,
        fingerprint,
      };
      logger.log('A backend server crashed under a request.', fields);
      if (entry.state === SuspectState.CONDEMNED) {
        logger.log('A request is refused from now on.', fields);
      }
      yield* this.news.send(entry);
    });
  }

  /** Others learn it as they ask for a trial of the same request. */
  private recordWhole(request: GuardedRequest): Effect.Effect<void> {
    if (this.book.isEmpty()) return Effect.void;
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      this.book.recordCompleted(this.getFingerprint(request), nowMs);
    });
  }

  private findState(
    request: GuardedRequest,
  ): Effect.Effect<SuspectState | undefined> {
    if (this.book.isEmpty()) return Effect.undefined;
    return Effect.map(Clock.currentTimeMillis, nowMs =>
      this.book.getState(this.getFingerprint(request), nowMs),
    );
  }

  private getFingerprint({parts}: GuardedRequest): string {
    const known = this.fingerprints.get(parts);
    if (known !== undefined) return known;
    const fingerprint = makeFingerprint(this.key, parts);
    this.fingerprints.set(parts, fingerprint);
    return fingerprint;
  }
}
