import {Clock, Effect, Result} from 'effect';
import {
  isKnownNotRun,
  type BackendError,
  type ServiceClient,
} from '@greengagecross/backend';
import {Outcome, RefusalReason} from '@greengagecross/common';
import type {RetryPolicy} from '@greengagecross/decisions';
import type {PlacementService} from '../placement/placement_service.js';
import type {RequestGuard} from '../suspects/request_guard.js';
import {answerService, toServiceAnswer} from './answer_service.js';
import {
  computeAttemptCost,
  makeDeadline,
  makeDeadlinePassed,
} from './deadlines.js';
import {makeNotRun, Refusal} from './refusal.js';
import {
  makeGuardedCall,
  makeServiceCall,
  type ServiceJob,
} from './service_job.js';
import {makeSuspected} from './suspected_refusal.js';
import {listWorkers} from './worker_order.js';

const RETRY_MS = 1000;

/** Dispatches calls that may be run again after a failure. */
export class RepeatableDispatcher {
  constructor(
    private readonly placement: PlacementService,
    private readonly workers: ServiceClient,
    private readonly retries: RetryPolicy,
    private readonly guard: RequestGuard,
  ) {}

  /** Sends a call to workers until one has answered it whole. */
  dispatch(job: ServiceJob): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      const deadline = makeDeadline(job.exchange, job.service);
      const service = job.service.name;
      const guarded = makeGuardedCall(job, deadline);
      this.retries.recordFirstTry(service);
      let failed: BackendError | undefined;
      let mayHaveRun = false;
      const servers = yield* listWorkers(this.placement, job);
      for (const [attempts, server] of servers.entries()) {
        if (yield* this.guard.isCondemned(guarded)) {
          yield* Effect.fail(makeSuspected(mayHaveRun));
        }
        const leftMs = deadline.computeLeftMs(yield* Clock.currentTimeMillis);
        if (failed !== undefined) {
          const cost = computeAttemptCost(failed.failure);
          const tried = {service, attempts, cost, leftMs};
          const waitMs = this.retries.chooseWaitMs(tried);
          if (waitMs === undefined) break;
          yield* Effect.sleep(waitMs);
        } else if (leftMs === 0) {
          yield* Effect.fail(makeDeadlinePassed());
        }
        const attemptId = `${job.requestId}.${attempts}`;
        const send = Effect.flatMap(Clock.currentTimeMillis, sentAtMs => {
          const callMs = deadline.computeLeftMs(sentAtMs);
          const call = makeServiceCall(job, server, attemptId, callMs);
          return this.workers.send(call, job.request);
        });
        const run = Effect.result(send);
        const result = yield* this.guard.run(guarded, {attemptId, server, run});
        if (result === undefined) continue;
        if (Result.isSuccess(result)) {
          answerService(job, toServiceAnswer(result.success));
          return;
        }
        failed = result.failure;
        mayHaveRun = mayHaveRun || !isKnownNotRun(failed.failure);
      }
      if (yield* this.guard.isCondemned(guarded)) {
        yield* Effect.fail(makeSuspected(mayHaveRun));
      }
      yield* Effect.fail(makeRefusal(mayHaveRun));
    });
  }
}

function makeRefusal(mayHaveRun: boolean): Refusal {
  if (!mayHaveRun) {
    return makeNotRun(
      RefusalReason.NO_BACKEND,
      503,
      'no worker could take the call',
      RETRY_MS,
    );
  }
  return new Refusal(
    Outcome.FAILED,
    RefusalReason.BACKEND_FAILED,
    502,
    'no worker answered the call whole',
    RETRY_MS,
  );
}
