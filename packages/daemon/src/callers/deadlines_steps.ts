import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {
  BackendError,
  ServiceClient,
  type BackendCall,
  type BackendFailure,
} from '@greengagecross/backend';
import {SeededRandom, type BackendServer} from '@greengagecross/common';
import {BudgetedRetryPolicy, RetryBudget} from '@greengagecross/decisions';
import type {HttpReply} from '@greengagecross/http';
import type {PlacementService} from '../placement/placement_service.js';
import {PermissiveGuard} from '../suspects/permissive_guard.js';
import type {Refusal} from './refusal.js';
import {runRefused} from './run_refused.js';
import {RepeatableDispatcher} from './repeatable_dispatcher.js';
import type {ServiceJob} from './service_job.js';

const SERVERS = ['worker-1', 'worker-2', 'worker-3', 'worker-4'].map(
  id => ({id, host: '127.0.0.1', port: 1}) as BackendServer,
);

/** Service client whose calls fail after a fixed time. */
class FailingWorkers extends ServiceClient {
  readonly calls: BackendCall[] = [];

  constructor(
    private readonly failure: BackendFailure,
    private readonly durationMs: number,
  ) {
    super();
  }

  override send(call: BackendCall): Effect.Effect<HttpReply, BackendError> {
    this.calls.push(call);
    const failed = new BackendError(this.failure, call.server.id);
    return Effect.andThen(Effect.sleep(this.durationMs), Effect.fail(failed));
  }
}

/** Fixture of one repeatable call, its failing workers and its refusal. */
interface DeadlineWorld extends World {
  call: ServiceJob;
  workers: FailingWorkers;
  refusal: Refusal;
}

Given(
  'a repeatable call with a caller deadline of {string} ms and a service deadline of {int} ms',
  function (this: DeadlineWorld, callerMs: string, deadlineMs: number) {
    const exchange = {
      getHeader: () => (callerMs === '' ? undefined : callerMs),
      arrivedAtMs: 0,
    };
    this.call = {
      exchange,
      requestId: 'call-1',
      customer: {id: 'customer-1'},
      service: {name: 'booking', deadlineMs},
      chat: 'call-1',
      request: {method: 'GET', path: '/', headers: {}, body: Buffer.alloc(0)},
    } as unknown as ServiceJob;
  },
);

Given(
  'its workers fail with {word} after {int} ms each',
  function (this: DeadlineWorld, failure: string, durationMs: number) {
    this.workers = new FailingWorkers(failure as BackendFailure, durationMs);
  },
);

When(
  'the call is dispatched in virtual time',
  async function (this: DeadlineWorld) {
    const placement = {listServers: () => Effect.succeed(SERVERS)};
    const dispatcher = new RepeatableDispatcher(
      placement as unknown as PlacementService,
      this.workers,
      new BudgetedRetryPolicy(new RetryBudget(), new SeededRandom(3)),
      new PermissiveGuard(),
    );
    this.refusal = await runRefused(dispatcher.dispatch(this.call));
  },
);

Then(
  '{int} attempts were sent, each with some remaining time but less than the previous one',
  function (this: DeadlineWorld, attempts: number) {
    const remaining = this.workers.calls.map(call => call.deadlineMs);
    assert.equal(remaining.length, attempts, remaining.join(', '));
    for (const [index, remainingMs] of remaining.entries()) {
      assert.ok(
        remainingMs > 0 && remainingMs < (remaining[index - 1] ?? Infinity),
      );
    }
  },
);

Then(
  'the outcome of the call is {word}',
  function (this: DeadlineWorld, outcome: string) {
    assert.equal(this.refusal.outcome, outcome);
  },
);
