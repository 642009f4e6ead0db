import {Clock, Effect, Result} from 'effect';
import {isKnownNotRun, type BackendError} from '@greengagecross/backend';
import {Logger, Outcome, OutcomeReason} from '@greengagecross/common';
import {
  type RequestDeadline,
  type RetryPolicy,
  type ServiceTimes,
} from '@greengagecross/decisions';
import type {
  PlacedServer,
  PlacementService,
} from '../placement/placement_service.js';
import type {SlotBroker} from '../placement/slot_broker.js';
import type {Slot} from '../placement/slot_renewer.js';
import type {GuardedRequest, RequestGuard} from '../suspects/request_guard.js';
import type {ChatAttempt, ChatJob} from './chat_attempt.js';
import {makeChatKey} from './chat_key.js';
import {
  computeAttemptCost,
  makeDeadline,
  makeDeadlineExceeded,
} from './deadlines.js';
import {EngineQueue} from './engine_queue.js';
import {makeNotRun, Refusal} from './refusal.js';
import {makeSuspectedRefusal} from './suspected_refusal.js';

const RETRY_AFTER_MS = 1000;
const logger = new Logger('chats');

/** Tries engines for a chat request until one has answered it completely. */
export class ChatDispatcher {
  constructor(
    private readonly placement: PlacementService,
    private readonly broker: SlotBroker,
    private readonly attempts: ChatAttempt,
    private readonly retries: RetryPolicy,
    /** Only complete answers are recorded. */
    private readonly serviceTimes: ServiceTimes,
    private readonly guard: RequestGuard,
  ) {}

  /**
   * Dispatches a job. The outcome of a refusal is not-run, or failed when an
   * attempt may have run.
   */
  dispatch(job: ChatJob): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const deadline = makeDeadline(job.exchange, job.service);
      const guarded = makeGuardedRequest(job, deadline);
      this.retries.recordFirstTry(job.service.name);
      let lastError: BackendError | undefined;
      let mayHaveRun = false;
      let failedAttempts = 0;
      const queue = new EngineQueue(this.listCandidates(job), deadline);
      for (let tryIndex = 0; ; tryIndex += 1) {
        if (yield* this.guard.isCondemned(guarded)) {
          yield* Effect.fail(makeSuspectedRefusal(mayHaveRun));
        }
        // A started stream cannot be continued by an attempt on another engine.
        if (lastError !== undefined && job.stream?.isStarted() === true) break;
        const placed = yield* queue.take();
        if (placed === undefined) break;
        const remainingMs = deadline.computeRemainingMs(
          yield* Clock.currentTimeMillis,
        );
        if (lastError !== undefined) {
          const backoffMs = this.chooseBackoffMs(
            job,
            lastError,
            failedAttempts,
            remainingMs,
          );
          if (backoffMs === undefined) break;
          yield* Effect.sleep(backoffMs);
        } else if (remainingMs === 0) {
          yield* Effect.fail(makeDeadlineExceeded());
        }
        const attemptId = `${job.requestId}.${tryIndex}`;
        const result = yield* this.guard.run(guarded, {
          attemptId,
          server: placed.server,
          run: this.runInSlot(job, placed, attemptId, deadline),
        });
        // Not run: no slot was granted, or the guard did not allow the attempt.
        if (result === undefined) continue;
        if (Result.isSuccess(result)) return;
        failedAttempts += 1;
        lastError = result.failure;
        mayHaveRun = mayHaveRun || !isKnownNotRun(lastError.failure);
        queue.recordFailure(placed.server.id, lastError.failure);
        logger.log('An attempt failed.', {
          request: job.requestId,
          engine: placed.server.id,
          failure: lastError.failure,
        });
      }
      const slotWaitMs = queue.getShortestWaitMs();
      yield* Effect.fail(makeRefusal(lastError, mayHaveRun, slotWaitMs));
    });
  }

  private chooseBackoffMs(
    job: ChatJob,
    lastError: BackendError,
    failedAttempts: number,
    remainingMs: number,
  ): number | undefined {
    const service = job.service.name;
    const cost = computeAttemptCost(lastError.failure);
    return this.retries.chooseWaitMs({
      service,
      attempts: failedAttempts,
      cost,
      remainingMs,
    });
  }

  /** Lists the engines to try, by their currently known loads; fails if none. */
  private listCandidates(job: ChatJob): Effect.Effect<PlacedServer[], Refusal> {
    const chatKey = makeChatKey(job.customer.id, job.chat);
    const request = {requestId: job.requestId, customer: job.customer.id};
    return this.placement
      .choose(job.service, chatKey, job.ticket, request)
      .pipe(
        Effect.flatMap(placed =>
          placed.length === 0
            ? Effect.fail(makeNoBackend())
            : Effect.succeed(placed),
        ),
      );
  }

  /**
   * Runs one attempt within a slot, whose id is the attempt's id; undefined when
   * no slot was granted.
   */
  private runInSlot(
    job: ChatJob,
    {server, choice}: PlacedServer,
    attemptId: string,
    deadline: RequestDeadline,
  ): Effect.Effect<Result.Result<void, BackendError> | undefined> {
    const customer = job.customer.id;
    const {priority} = job.service;
    const slotUser = {customer, priority};
    return Effect.acquireUseRelease(
      this.broker.acquire(server.id, attemptId, choice.maxWaitMs, slotUser),
      slot => {
        if (slot === undefined) return Effect.undefined;
        this.placement.recordAcceptingEngine(job.requestId, server.id);
        const startMs = performance.now();
        return this.attempts.run(job, server, attemptId, deadline).pipe(
          Effect.tap(() =>
            Effect.sync(() =>
              this.serviceTimes.record(performance.now() - startMs),
            ),
          ),
          Effect.result,
        );
      },
      slot => this.releaseSlot(slot),
    );
  }

  private releaseSlot(slot: Slot | undefined): Effect.Effect<void> {
    return slot === undefined ? Effect.void : this.broker.release(slot);
  }
}

function makeGuardedRequest(
  job: ChatJob,
  deadline: RequestDeadline,
): GuardedRequest {
  const {requestId, body} = job;
  const customer = job.customer.id;
  const service = job.service.name;
  return {
    requestId,
    deadline,
    // The body alone identifies a chat request, so `call` is empty.
    fingerprintParts: {customer, service, call: '', body},
    hasAnswerBegun: () => job.stream?.isStarted() === true,
  };
}

function makeNoBackend(): Refusal {
  return makeNotRun(
    OutcomeReason.NO_BACKEND,
    503,
    'no engine of this service is there',
    RETRY_AFTER_MS,
  );
}

function makeRefusal(
  lastError: BackendError | undefined,
  mayHaveRun: boolean,
  slotWaitMs: number,
): Refusal {
  if (mayHaveRun) {
    return new Refusal(
      Outcome.FAILED,
      OutcomeReason.BACKEND_FAILED,
      502,
      'the engine did not finish its answer',
    );
  }
  return makeNotRun(
    lastError === undefined
      ? OutcomeReason.OVERLOADED
      : OutcomeReason.NO_BACKEND,
    503,
    'no engine could take the request',
    Math.max(RETRY_AFTER_MS, slotWaitMs),
  );
}
