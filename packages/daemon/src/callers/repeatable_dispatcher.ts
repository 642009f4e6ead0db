import {Effect, Result} from 'effect';
import {isKnownNotRun, type ServiceClient} from '@greengagecross/backend';
import {Outcome, RefusalReason} from '@greengagecross/common';
import type {RetryBudget} from '@greengagecross/decisions';
import type {PlacementService} from '../placement/placement_service.js';
import {answerService, toServiceAnswer} from './answer_service.js';
import {makeNotRun, Refusal} from './refusal.js';
import {makeServiceCall, type ServiceJob} from './service_job.js';
import {listWorkers} from './worker_order.js';

const MAX_ATTEMPTS = 3;
const RETRY_MS = 1000;

/** Dispatches calls that may be run again after a failure. */
export class RepeatableDispatcher {
  constructor(
    private readonly placement: PlacementService,
    private readonly workers: ServiceClient,
    private readonly budget: RetryBudget,
  ) {}

  /** Sends a call to workers until one has answered it whole. */
  dispatch(job: ServiceJob): Effect.Effect<void, Refusal> {
    return Effect.gen({self: this}, function* () {
      this.budget.recordFirstTry();
      let mayHaveRun = false;
      const servers = yield* listWorkers(this.placement, job);
      for (const [index, server] of servers.slice(0, MAX_ATTEMPTS).entries()) {
        if (index > 0 && !this.budget.take()) break;
        const call = makeServiceCall(job, server, `${job.requestId}.${index}`);
        const result = yield* Effect.result(
          this.workers.send(call, job.request),
        );
        if (Result.isSuccess(result)) {
          answerService(job, toServiceAnswer(result.success));
          return;
        }
        mayHaveRun = mayHaveRun || !isKnownNotRun(result.failure.failure);
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
