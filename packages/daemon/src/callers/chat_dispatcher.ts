import {Clock, Effect, Result} from 'effect';
import {isKnownNotRun, type BackendError} from '@greengagecross/backend';
import {Logger, Outcome, RefusalReason} from '@greengagecross/common';
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
import type {Slot} from '../placement/slot_keeper.js';
import type {GuardedRequest, RequestGuard} from '../suspects/request_guard.js';
import type {ChatAttempt, ChatJob} from './chat_attempt.js';
import {makeChatKey} from './chat_key.js';
import {
  computeAttemptCost,
  makeDeadline,
  makeDeadlinePassed,
} from './deadlines.js';
import {EngineQueue} from './engine_queue.js';
import {makeNotRun, Refusal} from './refusal.js';
import {makeSuspected} from './suspected_refusal.js';

const OVERLOAD_RETRY_MS = 1000;
const logger = new Logger('chats');

/** Takes a chat request through engines until one has answered it whole. */
export class ChatDispatcher {
  constructor(
    private readonly placement: PlacementService,
    private readonly broker: SlotBroker,
    private readonly attempts: ChatAttempt,
    private readonly retries: RetryPolicy,
    private readonly times: ServiceTimes,
    private readonly guard: RequestGuard,
  ) {}

  /** Dispatches a job; a refusal says whether anything may have run. */
  dispatch(job: ChatJob): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const deadline = makeDeadline(job.exchange, job.service);
      const guarded = makeGuarded(job, deadline);
      this.retries.recordFirstTry(job.service.name);
      let failed: BackendError | undefined;
      let mayHaveRun = false;
      let attempts = 0;
      const queue = new EngineQueue(this.listPlaced(job), deadline);
      for (let index = 0; ; index += 1) {
        if (yield* this.guard.isCondemned(guarded)) {
          yield* Effect.fail(makeSuspected(mayHaveRun));
        }
        // A stream that has begun cannot be begun again elsewhere.
        if (failed !== undefined && job.stream?.isStarted() === true) break;
        const placed = yield* queue.take();
        if (placed === undefined) break;
        const leftMs = deadline.computeLeftMs(yield* Clock.currentTimeMillis);
        if (failed !== undefined) {
          const waitMs = this.chooseWaitMs(job, failed, attempts, leftMs);
          if (waitMs === undefined) break;
          yield* Effect.sleep(waitMs);
        } else if (leftMs === 0) {
          yield* Effect.fail(makeDeadlinePassed());
        }
        const attemptId = `${job.requestId}.${index}`;
        const result = yield* this.guard.run(guarded, {
          attemptId,
          server: placed.server,
          run: this.runOn(job, placed, attemptId, deadline),
        });
        if (result === undefined) continue;
        if (Result.isSuccess(result)) return;
        attempts += 1;
        failed = result.failure;
        mayHaveRun = mayHaveRun || !isKnownNotRun(failed.failure);
        queue.recordFailure(placed.server.id, failed.failure);
        logger.log('An attempt failed.', {
          request: job.requestId,
          engine: placed.server.id,
          failure: failed.failure,
        });
      }
      const waitMs = queue.getShortestWaitMs();
      yield* Effect.fail(makeRefusal(failed, mayHaveRun, waitMs));
    });
  }

  private chooseWaitMs(
    job: ChatJob,
    failed: BackendError,
    attempts: number,
    leftMs: number,
  ): number | undefined {
    const service = job.service.name;
    const cost = computeAttemptCost(failed.failure);
    return this.retries.chooseWaitMs({service, attempts, cost, leftMs});
  }

  /** Chooses engines by the loads that are known now. */
  private listPlaced(job: ChatJob): Effect.Effect<PlacedServer[], Refusal> {
    const chatKey = makeChatKey(job.customer.id, job.chat);
    const subject = {requestId: job.requestId, customer: job.customer.id};
    return this.placement
      .choose(job.service, chatKey, job.ticket, subject)
      .pipe(
        Effect.flatMap(placed =>
          placed.length === 0
            ? Effect.fail(makeNoBackend())
            : Effect.succeed(placed),
        ),
      );
  }

  /** Runs one attempt within a slot; undefined when no slot is free. */
  private runOn(
    job: ChatJob,
    {server, choice}: PlacedServer,
    attemptId: string,
    deadline: RequestDeadline,
  ): Effect.Effect<Result.Result<void, BackendError> | undefined> {
    const customer = job.customer.id;
    const {priority} = job.service;
    const subject = {customer, priority};
    return Effect.acquireUseRelease(
      this.broker.acquire(server.id, attemptId, choice.maxWaitMs, subject),
      slot => {
        if (slot === undefined) return Effect.undefined;
        this.placement.recordTaken(job.requestId, server.id);
        const startMs = performance.now();
        return this.attempts.run(job, server, attemptId, deadline).pipe(
          Effect.tap(() =>
            Effect.sync(() => this.times.record(performance.now() - startMs)),
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

function makeGuarded(job: ChatJob, deadline: RequestDeadline): GuardedRequest {
  const {requestId, body} = job;
  const customer = job.customer.id;
  const service = job.service.name;
  return {requestId, deadline, parts: {customer, service, call: '', body}};
}

function makeNoBackend(): Refusal {
  return makeNotRun(
    RefusalReason.NO_BACKEND,
    503,
    'no engine of this service is there',
    OVERLOAD_RETRY_MS,
  );
}

function makeRefusal(
  failed: BackendError | undefined,
  mayHaveRun: boolean,
  waitMs: number,
): Refusal {
  if (mayHaveRun) {
    return new Refusal(
      Outcome.FAILED,
      RefusalReason.BACKEND_FAILED,
      502,
      'the engine did not finish its answer',
    );
  }
  return makeNotRun(
    failed === undefined ? RefusalReason.OVERLOADED : RefusalReason.NO_BACKEND,
    503,
    'no engine could take the request',
    Math.max(OVERLOAD_RETRY_MS, waitMs),
  );
}
