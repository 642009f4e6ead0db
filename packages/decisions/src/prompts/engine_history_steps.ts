import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {EngineHistory} from './engine_history.js';

/** Fixture of two daemons' histories of the same engines. */
interface HistoryWorld extends World {
  /** Start of each engine that accepts requests, in ms since the epoch. */
  engines: Map<string, number>;
  history: EngineHistory;
  /** History of the other daemon. */
  other: EngineHistory;
  /** Preferred engines by subject, as last computed. */
  preferredBefore: Map<string, string>;
}

function updateHistories(
  world: HistoryWorld,
  nowMs: number,
  otherNowMs = nowMs,
): void {
  const engines = [...world.engines].map(([id, startedAtMs]) => ({
    id,
    startedAtMs,
  }));
  world.history.update(engines, nowMs);
  world.other.update(engines, otherNowMs);
}

function listPreferred(
  history: EngineHistory,
  count: number,
  nowMs: number,
): Map<string, string> {
  const subjects = Array.from({length: count}, (unused, at) => `s${at}`);
  return new Map(
    subjects.map(id => [id, history.listByPreference(id, nowMs)[0] ?? '']),
  );
}

function countSubjects(world: HistoryWorld, engine: string): number {
  const preferred = [...world.preferredBefore.values()];
  return preferred.filter(id => id === engine).length;
}

Given(
  'engines {int} to {int} that started within {int} ms from {int} ms on',
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
  'the preferred engines of {int} subjects are computed at {int} ms',
  function (this: HistoryWorld, count: number, nowMs: number) {
    this.preferredBefore = listPreferred(this.history, count, nowMs);
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
  'engine {int} leaves at {int} ms, which the other daemon receives {int} ms later',
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
  'the other daemon restarts at {int} ms and receives the ended engines',
  function (this: HistoryWorld, nowMs: number) {
    this.other = new EngineHistory();
    updateHistories(this, nowMs);
    this.other.addEnded(this.history.listEnded());
  },
);

Then(
  'each engine is the preferred engine of {int} to {int} subjects',
  function (this: HistoryWorld, least: number, most: number) {
    for (const engine of this.engines.keys()) {
      const count = countSubjects(this, engine);
      assert.ok(count >= least && count <= most, `${engine}: ${count}`);
    }
  },
);

Then(
  'engine {int} is the preferred engine of at most {int} subjects',
  function (this: HistoryWorld, engine: number, most: number) {
    assert.ok(countSubjects(this, `e${engine}`) <= most);
  },
);

Then(
  'at {int} ms only the subjects of engines {int} and {int} have another preferred engine',
  function (this: HistoryWorld, nowMs: number, first: number, second: number) {
    const gone = [`e${first}`, `e${second}`];
    const now = listPreferred(this.history, this.preferredBefore.size, nowMs);
    for (const [subject, before] of this.preferredBefore) {
      assert.equal(now.get(subject) !== before, gone.includes(before));
    }
  },
);

Then(
  'both daemons agree on the preferred engines of {int} subjects at {int} ms',
  function (this: HistoryWorld, count: number, nowMs: number) {
    const own = listPreferred(this.history, count, nowMs);
    assert.deepEqual(listPreferred(this.other, count, nowMs), own);
  },
);
