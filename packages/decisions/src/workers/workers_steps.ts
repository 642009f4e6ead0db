import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {chooseWorker} from './choose_worker.js';
import {ServerHealth} from './worker_health.js';
import type {ServerLoad} from './worker_load.js';
import {ServerResult} from './worker_result.js';

const GOOD_RESULTS = 20;

/** Fixture of the health records and loads of some workers. */
interface WorkersWorld extends World {
  health: ServerHealth;
  ids: string[];
  attempts: number;
  loads: ServerLoad[];
  chosen: string | undefined;
}

function recordFailures(
  world: WorkersWorld,
  ids: readonly string[],
  count: number,
  withinMs: number,
): void {
  for (let at = 0; at < count; at += 1) {
    const nowMs = (at * withinMs) / count;
    const result = at % 2 === 0 ? ServerResult.ERROR : ServerResult.OK;
    for (const id of ids) {
      world.health.recordSend(id, nowMs);
      world.health.recordResult(id, result, nowMs);
    }
  }
}

Given(
  'workers {string} that replied without failures',
  function (this: WorkersWorld, ids: string) {
    this.health = new ServerHealth();
    this.ids = ids.split(',');
    this.attempts = 0;
    for (const id of this.ids) {
      for (let at = 0; at < GOOD_RESULTS; at += 1) {
        this.health.recordResult(id, ServerResult.OK, 0);
      }
    }
  },
);

Given(
  'worker {string} in zone {string} with {int} of {int} slots used, {int} ms latency and a failure share of {float}',
  function (
    this: WorkersWorld,
    id: string,
    availabilityZone: string,
    inFlight: number,
    slots: number,
    latencyMs: number,
    failureShare: number,
  ) {
    this.loads ??= [];
    this.loads.push({
      id,
      availabilityZone,
      slots,
      inFlight,
      latencyMs,
      failureShare,
      isAvoided: false,
    });
  },
);

When(
  'worker {string} was unreachable at {int} ms',
  function (this: WorkersWorld, id: string, nowMs: number) {
    this.health.recordResult(id, ServerResult.UNREACHABLE, nowMs);
  },
);

When(
  'worker {string} is unreachable at every attempt for {int} ms',
  function (this: WorkersWorld, id: string, forMs: number) {
    for (let nowMs = 0; nowMs < forMs; nowMs += 10) {
      if (this.health.listAvoided(this.ids, nowMs).has(id)) continue;
      this.attempts += 1;
      this.health.recordSend(id, nowMs);
      this.health.recordResult(id, ServerResult.UNREACHABLE, nowMs);
    }
  },
);

When(
  'worker {string} fails every other one of {int} requests within {int} ms',
  function (this: WorkersWorld, id: string, count: number, withinMs: number) {
    recordFailures(this, [id], count, withinMs);
  },
);

When(
  'every worker fails every other one of {int} requests within {int} ms',
  function (this: WorkersWorld, count: number, withinMs: number) {
    recordFailures(this, this.ids, count, withinMs);
  },
);

When(
  'a worker is chosen in zone {string}',
  function (this: WorkersWorld, availabilityZone: string) {
    this.chosen = chooseWorker(this.loads, availabilityZone)?.id;
  },
);

Then(
  'at {int} ms the avoided workers are {string}',
  function (this: WorkersWorld, nowMs: number, ids: string) {
    const avoided = this.health.listAvoided(this.ids, nowMs);
    assert.equal([...avoided].join(','), ids);
  },
);

Then(
  'worker {string} got at most {int} attempts',
  function (this: WorkersWorld, unusedId: string, most: number) {
    assert.ok(this.attempts <= most, `${this.attempts} attempts`);
  },
);

Then(
  'the chosen worker is {string}',
  function (this: WorkersWorld, id: string) {
    assert.equal(this.chosen, id);
  },
);
