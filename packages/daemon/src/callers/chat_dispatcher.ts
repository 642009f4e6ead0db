import {Clock, Effect, Result} from 'effect';
import {isKnownNotRun, type BackendError} from '@greengagecross/backend';
import {
  Logger,
  Outcome,
  RefusalReason,
  type BackendServer,
} from '@greengagecross/common';
import type {RequestDeadline, RetryPolicy} from '@greengagecross/decisions';
import type {PlacementService} from '../placement/placement_service.js';
import type {Slot, SlotBroker} from '../placement/slot_broker.js';
import type {ChatAttempt, ChatJob} from './chat_attempt.js';
import {makeChatKey} from './chat_key.js';
import {
  computeAttemptCost,
  makeDeadline,
  makeDeadlinePassed,
} from './deadlines.js';
import {makeNotRun, Refusal} from './refusal.js';

const OVERLOAD_RETRY_MS = 1000;
const logger = new Logger('chats');

/** Takes a chat request through engines until one has answered it whole. */
export class ChatDispatcher {
  constructor(
    private readonly placement: PlacementService,
    private readonly broker: SlotBroker,
    private readonly attempts: ChatAttempt,
    private readonly retries: RetryPolicy,
  ) {}

  /** Dispatches a job; a refusal says whether anything may have run. */
  dispatch(job: ChatJob): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const servers = yield* this.placement.listServers(
        job.service,
        makeChatKey(job.customer.id, job.chat),
        job.ticket,
      );
      if (servers.length === 0) yield* Effect.fail(makeNoBackend());
      const deadline = makeDeadline(job.exchange, job.service);
      this.retries.recordFirstTry(job.service.name);
      let failed: BackendError | undefined;
      let mayHaveRun = false;
      let attempts = 0;
      for (const [index, server] of servers.entries()) {
        const leftMs = deadline.computeLeftMs(yield* Clock.currentTimeMillis);
        if (failed !== undefined) {
          const waitMs = this.chooseWaitMs(job, failed, attempts, leftMs);
          if (waitMs === undefined) break;
          yield* Effect.sleep(waitMs);
        } else if (leftMs === 0) {
          yield* Effect.fail(makeDeadlinePassed());
        }
        const attemptId = `${job.requestId}.${index}`;
        const result = yield* this.runOn(job, server, attemptId, deadline);
        if (result === undefined) continue;
        if (Result.isSuccess(result)) return;
        attempts += 1;
        failed = result.failure;
        mayHaveRun = mayHaveRun || !isKnownNotRun(failed.failure);
        logger.log('An attempt failed.', {
          request: job.requestId,
          engine: server.id,
          failure: failed.failure,
        });
      }
      yield* Effect.fail(makeRefusal(failed, mayHaveRun));
    });
  }

  /** A stream that has begun cannot be begun again elsewhere. */
  private chooseWaitMs(
    job: ChatJob,
    failed: BackendError,
    attempts: number,
    leftMs: number,
  ): number | undefined {
    if (job.stream?.isStarted() === true) return undefined;
    const service = job.service.name;
    const cost = computeAttemptCost(failed.failure);
    return this.retries.chooseWaitMs({service, attempts, cost, leftMs});
  }

  /** Runs one attempt within a slot; undefined when no slot is free. */
  private runOn(
    job: ChatJob,
    server: BackendServer,
    attemptId: string,
    deadline: RequestDeadline,
  ): Effect.Effect<Result.Result<void, BackendError> | undefined> {
    return Effect.acquireUseRelease(
      this.broker.acquire(server.id, attemptId),
      slot =>
        slot === undefined
          ? Effect.undefined
          : Effect.result(this.attempts.run(job, server, attemptId, deadline)),
      slot => this.releaseSlot(slot),
    );
  }

  private releaseSlot(slot: Slot | undefined): Effect.Effect<void> {
    return slot === undefined ? Effect.void : this.broker.release(slot);
  }
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
    OVERLOAD_RETRY_MS,
  );
}
