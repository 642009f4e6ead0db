import {Clock, Effect, Result} from 'effect';
import {
  isKnownNotRun,
  type BackendError,
  type ServiceClient,
} from '@greengagecross/backend';
import {Outcome, OutcomeReason} from '@greengagecross/common';
import type {RetryPolicy} from '@greengagecross/decisions';
import type {PlacementService} from '../placement/placement_service.js';
import type {RequestGuard} from '../suspects/request_guard.js';
import {sendServiceAnswer, toServiceAnswer} from './answer_service.js';
import {
  computeAttemptCost,
  makeDeadline,
  makeDeadlineExceeded,
} from './deadlines.js';
import {makeNotRun, Refusal} from './refusal.js';
import {
  makeGuardedRequest,
  makeServiceCall,
  type ServiceJob,
} from './service_job.js';
import {makeSuspectedRefusal} from './suspected_refusal.js';
import {listWorkers} from './list_workers.js';

const RETRY_AFTER_MS = 1000;

/** Dispatches repeatable calls, which may run again after a failure. */
export class RepeatableDispatcher {
  constructor(
    private readonly placement: PlacementService,
    private readonly workers: ServiceClient,
    private readonly retries: RetryPolicy,
    private readonly guard: RequestGuard,
  ) {}

  /** Sends a call to workers until one has answered it completely. */
  dispatch(job: ServiceJob): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const deadline = makeDeadline(job.exchange, job.service);
      const service = job.service.name;
      const guarded = makeGuardedRequest(job, deadline);
      this.retries.recordFirstTry(service);
      let lastError: BackendError | undefined;
      let mayHaveRun = false;
      const servers = yield* listWorkers(this.placement, job);
      // Servers that the guard skipped count as attempts, unlike for chats.
      for (const [tryIndex, server] of servers.entries()) {
        if (yield* this.guard.isCondemned(guarded)) {
          yield* Effect.fail(makeSuspectedRefusal(mayHaveRun));
        }
        const remainingMs = deadline.computeRemainingMs(
          yield* Clock.currentTimeMillis,
        );
        if (lastError !== undefined) {
          const cost = computeAttemptCost(lastError.failure);
          const failedAttempt = {
            service,
            attempts: tryIndex,
            cost,
            remainingMs,
          };
          const backoffMs = this.retries.chooseWaitMs(failedAttempt);
          if (backoffMs === undefined) break;
          yield* Effect.sleep(backoffMs);
        } else if (remainingMs === 0) {
          yield* Effect.fail(makeDeadlineExceeded());
        }
        const attemptId = `${job.requestId}.${tryIndex}`;
        const send = Effect.flatMap(Clock.currentTimeMillis, sentAtMs => {
          const callMs = deadline.computeRemainingMs(sentAtMs);
          const call = makeServiceCall(job, server, attemptId, callMs);
          return this.workers.send(call, job.request);
        });
        const run = Effect.result(send);
        const result = yield* this.guard.run(guarded, {attemptId, server, run});
        if (result === undefined) continue;
        if (Result.isSuccess(result)) {
          sendServiceAnswer(job, toServiceAnswer(result.success));
          return;
        }
        lastError = result.failure;
        mayHaveRun = mayHaveRun || !isKnownNotRun(lastError.failure);
      }
      if (yield* this.guard.isCondemned(guarded)) {
        yield* Effect.fail(makeSuspectedRefusal(mayHaveRun));
      }
      yield* Effect.fail(makeRefusal(mayHaveRun));
    });
  }
}

function makeRefusal(mayHaveRun: boolean): Refusal {
  if (!mayHaveRun) {
    return makeNotRun(
      OutcomeReason.NO_BACKEND,
      503,
      'no worker could take the call',
      RETRY_AFTER_MS,
    );
  }
  return new Refusal(
    Outcome.FAILED,
    OutcomeReason.BACKEND_FAILED,
    502,
    'no worker answered the call whole',
    RETRY_AFTER_MS,
  );
}
