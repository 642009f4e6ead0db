import {Clock, Effect, Result} from 'effect';
import {isKnownNotRun, type ServiceClient} from '@greengagecross/backend';
import {HeaderName} from '@greengagecross/common';
import {RequestDeadline} from '@greengagecross/decisions';
import {computeDigest} from '@greengagecross/platform';
import type {Claim, ClaimStore} from '../claims/claim_store.js';
import {ClaimState, type ClaimRecord} from '../claims/claim_record.js';
import {checkIdempotencyKey, KeyStatus} from '../claims/idempotency_key.js';
import type {PlacementService} from '../placement/placement_service.js';
import type {RequestGuard} from '../suspects/request_guard.js';
import {
  sendServiceAnswer,
  toServiceAnswer,
  type ServiceAnswer,
} from './answer_service.js';
import {
  makeAnswerNotKept,
  makeClaimDeadlineExceeded,
  makeKeyExpired,
  makeKeyInUse,
  makeKeyMalformed,
  makeKeyRequired,
  makeKeyReused,
  makeNoWorker,
  makeOutcomeUnknown,
  makePlatformDown,
} from './at_most_once_refusals.js';
import type {Refusal} from './refusal.js';
import {
  makeGuardedRequest,
  makeServiceCall,
  type ServiceJob,
} from './service_job.js';
import {makeSuspectedRefusal} from './suspected_refusal.js';
import {listWorkers} from './list_workers.js';

/** Maximum size of an answer that is recorded for later requests. */
const MAX_RECORDED_BYTES = 16 * 1024;

/**
 * Dispatches non-repeatable calls. A call is sent only under a claim: a row of
 * the table service that reserves its idempotency key for one request.
 */
export class AtMostOnceDispatcher {
  constructor(
    private readonly placement: PlacementService,
    private readonly workers: ServiceClient,
    private readonly claims: ClaimStore,
    private readonly guard: RequestGuard,
  ) {}

  /** Runs a call at most once for its customer's idempotency key. */
  dispatch(job: ServiceJob): Effect.Effect<void, Refusal> {
    const key = job.exchange.getHeader(HeaderName.IDEMPOTENCY_KEY);
    if (key === undefined || key === '') return Effect.fail(makeKeyRequired());
    // The result must be recorded even when the caller disconnects.
    return Effect.uninterruptible(this.runClaimed(job, key));
  }

  private runClaimed(
    job: ServiceJob,
    idempotencyKey: string,
  ): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      yield* checkKey(idempotencyKey, startMs);
      const claim = yield* this.claim(job, idempotencyKey, startMs);
      if (!claim.isOwn) {
        yield* answerFromRecord(job, claim);
        return;
      }
      yield* this.checkNotExpired(job, claim, idempotencyKey, startMs);
      const answer = yield* this.send(job, claim);
      yield* this.claims.record(claim, toEndedRecord(claim.record, answer));
      sendServiceAnswer(job, answer);
    });
  }

  /**
   * Releases the claim and fails when, since `startMs`, the service's time limit
   * has elapsed or the key has expired: this process may have been paused until
   * the caller gave up or until the key expired, after which the key's row may
   * be deleted.
   */
  private checkNotExpired(
    job: ServiceJob,
    claim: Claim,
    idempotencyKey: string,
    startMs: number,
  ): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const release = this.claims.release(claim);
      if (nowMs - startMs > job.service.deadlineMs) {
        yield* release;
        yield* Effect.fail(makeClaimDeadlineExceeded());
      }
      yield* checkKey(idempotencyKey, nowMs).pipe(
        Effect.tapError(() => release),
      );
    });
  }

  /**
   * Sends the call to workers until one replies or may have run the call.
   * Releases the claim when no worker ran the call.
   */
  private send(
    job: ServiceJob,
    claim: Claim,
  ): Effect.Effect<ServiceAnswer, Refusal> {
    return Effect.gen({self: this}, function* () {
      const servers = yield* listWorkers(this.placement, job);
      const {deadlineMs} = job.service;
      // Only the guard uses this deadline. The caller's deadline header is not
      // read, and each attempt gets the service's full time limit.
      const {arrivedAtMs} = job.exchange;
      const deadline = RequestDeadline.make(undefined, deadlineMs, arrivedAtMs);
      const guarded = makeGuardedRequest(job, deadline);
      for (const [tryIndex, server] of servers.entries()) {
        if (yield* this.guard.isCondemned(guarded)) break;
        const attemptId = `${job.requestId}.${tryIndex}`;
        const call = makeServiceCall(job, server, attemptId);
        const run = Effect.result(this.workers.send(call, job.request));
        const result = yield* this.guard.run(guarded, {attemptId, server, run});
        if (result === undefined) continue;
        if (Result.isSuccess(result)) return toServiceAnswer(result.success);
        if (isKnownNotRun(result.failure.failure)) continue;
        const record = {...claim.record, state: ClaimState.UNKNOWN};
        yield* this.claims.record(claim, record);
        yield* Effect.fail(makeOutcomeUnknown());
      }
      yield* this.claims.release(claim);
      const isCondemned = yield* this.guard.isCondemned(guarded);
      return yield* Effect.fail(
        isCondemned ? makeSuspectedRefusal(false) : makeNoWorker(),
      );
    });
  }

  private claim(
    job: ServiceJob,
    idempotencyKey: string,
    nowMs: number,
  ): Effect.Effect<Claim, Refusal> {
    const {method, path, body} = job.request;
    const request = {
      customer: job.customer.id,
      service: job.service.name,
      idempotencyKey,
      requestDigest: computeDigest(`${method} ${path} ${computeDigest(body)}`),
      token: job.requestId,
      nowMs,
    };
    return this.claims.claim(request).pipe(
      // After any failure, no claim is known to be recorded.
      Effect.mapError(() => makePlatformDown()),
      Effect.flatMap(claim =>
        claim.record.requestDigest === request.requestDigest
          ? Effect.succeed(claim)
          : Effect.fail(makeKeyReused()),
      ),
    );
  }
}

function checkKey(key: string, nowMs: number): Effect.Effect<void, Refusal> {
  switch (checkIdempotencyKey(key, nowMs)) {
    case KeyStatus.USABLE:
      return Effect.void;
    case KeyStatus.MALFORMED:
      return Effect.fail(makeKeyMalformed());
    case KeyStatus.EXPIRED:
      return Effect.fail(makeKeyExpired());
  }
}

function toEndedRecord(
  record: ClaimRecord,
  answer: ServiceAnswer,
): ClaimRecord {
  const {status, contentType, body} = answer;
  if (body.length > MAX_RECORDED_BYTES) {
    return {...record, state: ClaimState.DONE_NOT_KEPT};
  }
  const encoded = body.toString('base64');
  return {
    ...record,
    state: ClaimState.DONE,
    status,
    contentType,
    body: encoded,
  };
}

/** Answers from the record of an earlier request; dispatches nothing. */
function answerFromRecord(
  job: ServiceJob,
  claim: Claim,
): Effect.Effect<void, Refusal> {
  const {state, status, contentType, body} = claim.record;
  if (state === ClaimState.DONE_NOT_KEPT) {
    return Effect.fail(makeAnswerNotKept());
  }
  if (state !== ClaimState.DONE) return Effect.fail(makeKeyInUse());
  return Effect.sync(() =>
    sendServiceAnswer(job, {
      status,
      contentType,
      body: Buffer.from(body, 'base64'),
    }),
  );
}
