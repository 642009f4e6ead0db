import {Clock, Effect, Result} from 'effect';
import {isKnownNotRun, type ServiceClient} from '@greengagecross/backend';
import {
  HeaderName,
  makeRequestId,
  Outcome,
  RefusalReason,
} from '@greengagecross/common';
import {computeDigest} from '@greengagecross/platform';
import type {Claim, ClaimBook} from '../claims/claim_book.js';
import {ClaimState} from '../claims/claim_record.js';
import type {PlacementService} from '../placement/placement_service.js';
import {
  answerService,
  toServiceAnswer,
  type ServiceAnswer,
} from './answer_service.js';
import {makeNotRun, Refusal} from './refusal.js';
import {makeServiceCall, type ServiceJob} from './service_job.js';
import {listWorkers} from './worker_order.js';

const RETRY_MS = 1000;

/** Dispatches calls that may not be repeated, each under its own claim. */
export class OnceDispatcher {
  constructor(
    private readonly placement: PlacementService,
    private readonly workers: ServiceClient,
    private readonly claims: ClaimBook,
  ) {}

  /** Runs a call at most once for its customer's idempotency key. */
  dispatch(job: ServiceJob): Effect.Effect<void, Refusal> {
    const key = job.exchange.getHeader(HeaderName.IDEMPOTENCY_KEY);
    if (key === undefined || key === '') {
      return Effect.fail(
        makeNotRun(
          RefusalReason.KEY_REQUIRED,
          400,
          'this call may not be repeated and needs an Idempotency-Key header',
        ),
      );
    }
    // A caller that leaves does not stop the work from being recorded.
    return Effect.uninterruptible(this.runClaimed(job, key));
  }

  private runClaimed(
    job: ServiceJob,
    idempotencyKey: string,
  ): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const claim = yield* this.claim(job, idempotencyKey);
      if (!claim.isOwn) {
        yield* answerStanding(job, claim);
        return;
      }
      const servers = yield* listWorkers(this.placement, job);
      for (const server of servers) {
        const call = makeServiceCall(job, server, claim.record.token);
        const result = yield* Effect.result(
          this.workers.send(call, job.request),
        );
        if (Result.isSuccess(result)) {
          const answer = toServiceAnswer(result.success);
          yield* this.claims.record(claim, makeDone(claim, answer));
          answerService(job, answer);
          return;
        }
        if (isKnownNotRun(result.failure.failure)) continue;
        const record = {...claim.record, state: ClaimState.UNKNOWN};
        yield* this.claims.record(claim, record);
        yield* Effect.fail(makeUnknown());
      }
      yield* this.claims.remove(claim);
      yield* Effect.fail(
        makeNotRun(
          RefusalReason.NO_BACKEND,
          503,
          'no worker could take the call',
          RETRY_MS,
        ),
      );
    });
  }

  private claim(
    job: ServiceJob,
    idempotencyKey: string,
  ): Effect.Effect<Claim, Refusal> {
    const {method, path, body} = job.request;
    const bodyDigest = computeDigest(body);
    return Effect.flatMap(Clock.currentTimeMillis, nowMs =>
      this.claims
        .claim({
          customer: job.customer.id,
          service: job.service.name,
          idempotencyKey,
          requestDigest: computeDigest(`${method} ${path} ${bodyDigest}`),
          token: makeRequestId(),
          nowMs,
        })
        .pipe(Effect.mapError(() => makePlatformDown())),
    ).pipe(Effect.flatMap(claim => checkSameRequest(claim, job, bodyDigest)));
  }
}

function makeDone(claim: Claim, answer: ServiceAnswer) {
  return {
    ...claim.record,
    state: ClaimState.DONE,
    status: answer.status,
    contentType: answer.contentType,
    body: answer.body.toString('base64'),
  };
}

function checkSameRequest(
  claim: Claim,
  job: ServiceJob,
  bodyDigest: string,
): Effect.Effect<Claim, Refusal> {
  const {method, path} = job.request;
  const digest = computeDigest(`${method} ${path} ${bodyDigest}`);
  if (claim.record.requestDigest === digest) return Effect.succeed(claim);
  return Effect.fail(
    makeNotRun(
      RefusalReason.KEY_REUSED,
      422,
      'this idempotency key was used for another request',
    ),
  );
}

/** Answers from what an earlier attempt recorded, without running anything. */
function answerStanding(
  job: ServiceJob,
  claim: Claim,
): Effect.Effect<void, Refusal> {
  const {state, status, contentType, body} = claim.record;
  if (state !== ClaimState.DONE) {
    return Effect.fail(
      new Refusal(
        Outcome.UNKNOWN,
        RefusalReason.KEY_IN_USE,
        409,
        'an earlier attempt with this key may have run',
        RETRY_MS,
      ),
    );
  }
  return Effect.sync(() =>
    answerService(job, {
      status,
      contentType,
      body: Buffer.from(body, 'base64'),
    }),
  );
}

function makePlatformDown(): Refusal {
  return makeNotRun(
    RefusalReason.PLATFORM_DOWN,
    503,
    'this attempt was not run: its claim could not be recorded;' +
      ' an earlier attempt with this key may have run',
    RETRY_MS,
  );
}

function makeUnknown(): Refusal {
  return new Refusal(
    Outcome.UNKNOWN,
    RefusalReason.BACKEND_FAILED,
    502,
    'the call may have run; its answer was lost',
  );
}
