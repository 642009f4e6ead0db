import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {EngineHistory} from './engine_history.js';

/** State of one scenario about homes. */
interface HistoryWorld extends World {
  engines: Map<string, number>;
  history: EngineHistory;
  other: EngineHistory;
  homesBefore: Map<string, string>;
}

function updateHistories(
  world: HistoryWorld,
  nowMs: number,
  otherMs = nowMs,
): void {
  const engines = [...world.engines].map(([id, startedAtMs]) => ({
    id,
    startedAtMs,
  }));
  world.history.update(engines, nowMs);
  world.other.update(engines, otherMs);
}

function listHomes(
  history: EngineHistory,
  count: number,
  nowMs: number,
): Map<string, string> {
  const subjects = Array.from({length: count}, (unused, at) => `s${at}`);
  return new Map(
    subjects.map(id => [id, history.listInOrder(id, nowMs)[0] ?? '']),
  );
}

function countHomes(world: HistoryWorld, engine: string): number {
  const homes = [...world.homesBefore.values()];
  return homes.filter(home => home === engine).length;
}

Given(
  'engines {int} to {int} that started within {int} ms at {int} ms',
  function (
    this: HistoryWorld,
    first: number,
    last: number,
    withinMs: number,
    atMs: number,
  ) {
    this.engines = new Map();
    this.history = new EngineHistory();
    this.other = new EngineHistory();
    for (let at = first; at <= last; at += 1) {
      const delayMs = (withinMs * (at - first)) / (last - first);
      this.engines.set(`e${at}`, atMs + delayMs);
    }
    updateHistories(this, atMs + withinMs);
  },
);

When(
  'the homes of {int} subjects are listed at {int} ms',
  function (this: HistoryWorld, count: number, nowMs: number) {
    this.homesBefore = listHomes(this.history, count, nowMs);
  },
);

When(
  'engine {int} joins at {int} ms',
  function (this: HistoryWorld, engine: number, nowMs: number) {
    this.engines.set(`e${engine}`, nowMs);
    updateHistories(this, nowMs);
  },
);

When(
  'engine {int} leaves at {int} ms',
  function (this: HistoryWorld, engine: number, nowMs: number) {
    this.engines.delete(`e${engine}`);
    updateHistories(this, nowMs);
  },
);

When(
  'engine {int} leaves at {int} ms, which another daemon hears {int} ms later',
  function (
    this: HistoryWorld,
    engine: number,
    nowMs: number,
    delayMs: number,
  ) {
    this.engines.delete(`e${engine}`);
    updateHistories(this, nowMs, nowMs + delayMs);
  },
);

When(
  'the other daemon starts anew at {int} ms and is told of the ends',
  function (this: HistoryWorld, nowMs: number) {
    this.other = new EngineHistory();
    updateHistories(this, nowMs);
    this.other.addEnded(this.history.listEnded());
  },
);

Then(
  'each engine is home of {int} to {int} subjects',
  function (this: HistoryWorld, least: number, most: number) {
    for (const engine of this.engines.keys()) {
      const count = countHomes(this, engine);
      assert.ok(count >= least && count <= most, `${engine}: ${count}`);
    }
  },
);

Then(
  'engine {int} is home of at most {int} subjects',
  function (this: HistoryWorld, engine: number, most: number) {
    assert.ok(countHomes(this, `e${engine}`) <= most);
  },
);

Then(
  'at {int} ms only subjects of engines {int} and {int} have another home',
  function (this: HistoryWorld, nowMs: number, first: number, second: number) {
    const gone = [`e${first}`, `e${second}`];
    const now = listHomes(this.history, this.homesBefore.size, nowMs);
    for (const [subject, before] of this.homesBefore) {
      assert.equal(now.get(subject) !== before, gone.includes(before));
    }
  },
);

Then(
  'both daemons agree on the homes of {int} subjects at {int} ms',
  function (this: HistoryWorld, count: number, nowMs: number) {
    const own = listHomes(this.history, count, nowMs);
    assert.deepEqual(listHomes(this.other, count, nowMs), own);
  },
);
