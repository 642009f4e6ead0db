import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {Effect} from 'effect';
import {Outcome, OutcomeReason, SeededRandom} from '@greengagecross/common';
import {
  BudgetedRetryPolicy,
  RetryBudget,
  type ServiceTimes,
} from '@greengagecross/decisions';
import type {
  PlacedServer,
  PlacementService,
} from '../placement/placement_service.js';
import type {SlotBroker} from '../placement/slot_broker.js';
import {PermissiveGuard} from '../suspects/permissive_guard.js';
import type {ChatAttempt, ChatJob} from './chat_attempt.js';
import {ChatDispatcher} from './chat_dispatcher.js';
import type {Refusal} from './refusal.js';
import {runRefused} from './run_refused.js';

const SEED = 3;
const JOB = {
  exchange: {getHeader: () => undefined, arrivedAtMs: 0},
  requestId: 'request-1',
  customer: {id: 'customer-1'},
  service: {name: 'assistant', deadlineMs: 20_000},
  chat: 'chat-1',
  body: Buffer.alloc(0),
} as unknown as ChatJob;

/** Fixture of the engines placed for a chat and the chat's refusal. */
interface RefusedWorld extends World {
  placed: readonly PlacedServer[];
  refusal: Refusal;
}

Given(
  /^engines with an expected wait of ([\d, ]+) ms, none of which grants a slot$/,
  function (this: RefusedWorld, waits: string) {
    this.placed = waits.split(',').map(
      (wait, index) =>
        ({
          server: {id: `engine-${index}`},
          choice: {waitMs: Number(wait), maxWaitMs: 0},
        }) as unknown as PlacedServer,
    );
  },
);

When(
  'a chat is dispatched to them in virtual time',
  async function (this: RefusedWorld) {
    const placement = {choose: () => Effect.sync(() => [...this.placed])};
    const broker = {acquire: () => Effect.undefined};
    const dispatcher = new ChatDispatcher(
      placement as unknown as PlacementService,
      broker as unknown as SlotBroker,
      {} as unknown as ChatAttempt,
      new BudgetedRetryPolicy(new RetryBudget(), new SeededRandom(SEED)),
      {} as unknown as ServiceTimes,
      new PermissiveGuard(),
    );
    this.refusal = await runRefused(dispatcher.dispatch(JOB));
  },
);

Then(
  'the chat is refused as not-run with the reason overloaded and a retry delay of {int} ms',
  function (this: RefusedWorld, retryMs: number) {
    assert.equal(this.refusal.outcome, Outcome.NOT_RUN);
    assert.equal(this.refusal.reason, OutcomeReason.OVERLOADED);
    assert.equal(this.refusal.retryAfterMs, retryMs);
  },
);
