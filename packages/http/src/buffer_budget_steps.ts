import assert from 'node:assert/strict';
import {EventEmitter} from 'node:events';
import type {IncomingMessage} from 'node:http';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Exit, Fiber} from 'effect';
import {BufferBudget} from './buffer_budget.js';
import type {HttpError} from './http_error.js';
import {readBody} from './read_body.js';

const SOUND_BYTES = 2000;
/** More than one body may have alone in the budget, with its doubled capacity. */
const ENDLESS_BYTES = 1_200_000;

type Reading = Fiber.Fiber<Buffer, HttpError>;

/** World with bodies that are read under one budget. */
interface BudgetWorld extends World {
  budget: BufferBudget;
  mostBytes: number;
  sound: Reading[];
  endless: Reading[];
}

function makeBody(): EventEmitter & {complete: boolean} {
  const pause = (): void => undefined;
  return Object.assign(new EventEmitter(), {complete: false, pause});
}

function startReading(world: BudgetWorld, body: EventEmitter): Reading {
  const stream = body as unknown as IncomingMessage;
  return Effect.runFork(readBody(stream, Infinity, 'test', world.budget));
}

async function listExits(
  readings: readonly Reading[],
): Promise<Exit.Exit<Buffer, HttpError>[]> {
  return Promise.all(
    readings.map(reading => Effect.runPromise(Fiber.await(reading))),
  );
}

Given(
  'a budget of {int} bytes for bodies',
  function (this: BudgetWorld, limit: number) {
    this.budget = new BufferBudget(limit);
    this.mostBytes = 0;
  },
);

When(
  '{int} bodies without an end and {int} sound ones of 2000 bytes arrive by turns, in chunks of {int} bytes',
  function (this: BudgetWorld, endless: number, sound: number, size: number) {
    const endlessBodies = Array.from({length: endless}, makeBody);
    const soundBodies = Array.from({length: sound}, makeBody);
    this.endless = endlessBodies.map(body => startReading(this, body));
    this.sound = soundBodies.map(body => startReading(this, body));
    const chunk = Buffer.alloc(size, 'x');
    for (let sent = 0; sent < ENDLESS_BYTES; sent += size) {
      const bodies =
        sent < SOUND_BYTES ? [...endlessBodies, ...soundBodies] : endlessBodies;
      for (const body of bodies) {
        body.emit('data', chunk);
        this.mostBytes = Math.max(this.mostBytes, this.budget.countBytes());
      }
    }
    for (const body of soundBodies) {
      body.complete = true;
      body.emit('end');
      body.emit('close');
    }
  },
);

Then(
  'the bodies never took more than {int} bytes',
  function (this: BudgetWorld, limit: number) {
    assert.ok(this.mostBytes <= limit, `${this.mostBytes} bytes`);
  },
);

Then(
  'the {int} sound bodies were read unchanged',
  async function (this: BudgetWorld, count: number) {
    const exits = await listExits(this.sound);
    const read = exits.filter(
      exit => Exit.isSuccess(exit) && exit.value.length === SOUND_BYTES,
    );
    assert.equal(read.length, count);
  },
);

Then(
  'at least {int} bodies without an end failed as {string}',
  async function (this: BudgetWorld, least: number, failure: string) {
    const exits = await listExits(this.endless);
    const failed = exits.filter(
      exit =>
        Exit.isFailure(exit) && JSON.stringify(exit.cause).includes(failure),
    );
    assert.ok(failed.length >= least, `${failed.length} bodies`);
  },
);

Then('no body is left in the budget', function (this: BudgetWorld) {
  assert.equal(this.budget.countBytes(), 0);
});
