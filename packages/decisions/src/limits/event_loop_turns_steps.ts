import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {TurnBudget} from './turn_budget.js';
import {TurnQueue} from './turn_queue.js';

/** A connection that waits for its turns. */
interface Waiter {
  readonly number: number;
  turns: number;
}

/** World with the turns of one event loop. */
interface TurnsWorld extends World {
  queue: TurnQueue<Waiter>;
  waiters: Waiter[];
  backlogBytes: number;
  /** Turns of others while the client waited, over all of its requests. */
  othersTurns: number;
  clientTurns: number;
  budget: TurnBudget;
}

function startQueue(world: TurnsWorld, count: number, bytes: number): void {
  world.queue = new TurnQueue();
  world.backlogBytes = bytes;
  world.waiters = Array.from({length: count}, (_unused, at) => ({
    number: at + 1,
    turns: 0,
  }));
  for (const waiter of world.waiters) world.queue.add(waiter, bytes);
}

/** Takes the next turn; a connection with a backlog asks for another one. */
function takeTurn(world: TurnsWorld): Waiter {
  const waiter = world.queue.takeNext();
  assert.ok(waiter);
  waiter.turns += 1;
  if (waiter.number > 0) world.queue.add(waiter, world.backlogBytes);
  return waiter;
}

Given(
  '{int} connections that always have {int} bytes to be read',
  function (this: TurnsWorld, count: number, bytes: number) {
    startQueue(this, count, bytes);
  },
);

Given(
  '{int} connections that wait for a turn',
  function (this: TurnsWorld, count: number) {
    startQueue(this, count, 0);
  },
);

Given('{int} turns were taken', function (this: TurnsWorld, count: number) {
  for (let at = 0; at < count; at += 1) takeTurn(this);
});

When(
  'another client asks for a turn for {int} bytes {int} times in a row',
  function (this: TurnsWorld, bytes: number, times: number) {
    const client: Waiter = {number: 0, turns: 0};
    this.clientTurns = times;
    this.othersTurns = 0;
    for (let at = 0; at < times; at += 1) {
      this.queue.add(client, bytes);
      while (takeTurn(this) !== client) this.othersTurns += 1;
    }
  },
);

When(
  'the first asks again and the second is closed',
  function (this: TurnsWorld) {
    const [first, second] = this.waiters;
    assert.ok(first && second);
    this.queue.add(first, 0);
    this.queue.remove(second);
  },
);

When(
  /^iterations of the event loop took ([\d,]+) ms$/,
  function (this: TurnsWorld, durations: string) {
    this.budget = new TurnBudget();
    for (const ms of durations.split(',')) this.budget.record(Number(ms));
  },
);

Then(
  'it waits for at most {int} other turns on average',
  function (this: TurnsWorld, most: number) {
    const average = this.othersTurns / this.clientTurns;
    assert.ok(average <= most, `${average} turns`);
  },
);

Then(
  'each connection had {int} turns',
  function (this: TurnsWorld, turns: number) {
    const counts = new Set(this.waiters.map(waiter => waiter.turns));
    assert.deepEqual([...counts], [turns]);
  },
);

Then(
  'the turns are those of the connections {string}',
  function (this: TurnsWorld, numbers: string) {
    const taken: number[] = [];
    for (;;) {
      const waiter = this.queue.takeNext();
      if (waiter === undefined) break;
      taken.push(waiter.number);
    }
    assert.equal(taken.join(','), numbers);
    assert.equal(this.queue.countWaiting(), 0);
  },
);

Then(
  'a batch in which each turn takes {int} ms has {int} turns',
  function (this: TurnsWorld, turnMs: number, turns: number) {
    let taken = 0;
    while (!this.budget.isUsedUp(taken, taken * turnMs)) taken += 1;
    assert.equal(taken, turns);
  },
);

Then(
  /^of (\d+) iterations in which (connections are|none is) accepted (\d+) have turns$/,
  function (iterations: string, accepted: string, turns: string) {
    const budget = new TurnBudget();
    let count = 0;
    for (let at = 0; at < Number(iterations); at += 1) {
      if (!budget.isSkipped(accepted === 'connections are')) count += 1;
    }
    assert.equal(count, Number(turns));
  },
);
