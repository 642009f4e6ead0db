import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {CrashCounts} from './crash_counts.js';

/** Fixture of the crash counts of one daemon. */
interface CrashWorld extends World {
  counts: CrashCounts;
  nowMs: number;
}

function recordDisconnects(
  world: CrashWorld,
  request: string,
  servers: number,
): string[] {
  const ids = Array.from({length: servers}, (unused, at) => `s${at}`);
  for (const id of ids) world.counts.recordDisconnect(request, id, world.nowMs);
  return ids;
}

Given('no crashes are counted', function (this: CrashWorld) {
  this.counts = new CrashCounts();
  this.nowMs = 0;
});

When(
  'request {string} is disconnected from {int} servers that stay up',
  function (this: CrashWorld, request: string, servers: number) {
    recordDisconnects(this, request, servers);
  },
);

When(
  'request {string} is disconnected from {int} servers that go down {int} ms later',
  function (this: CrashWorld, request: string, servers: number, ms: number) {
    const ids = recordDisconnects(this, request, servers);
    this.nowMs += ms;
    for (const id of ids) this.counts.recordDown(id, this.nowMs);
  },
);

When(
  'another daemon reports {int} crashes of request {string}',
  function (this: CrashWorld, crashes: number, request: string) {
    this.counts.merge(request, crashes, this.nowMs);
  },
);

When(
  'request {string} completes',
  function (this: CrashWorld, request: string) {
    this.counts.recordCompleted(request);
  },
);

Then(
  'request {string} may be sent',
  function (this: CrashWorld, request: string) {
    assert.equal(this.counts.isCondemned(request, this.nowMs), false);
  },
);

Then(
  'request {string} is condemned',
  function (this: CrashWorld, request: string) {
    assert.equal(this.counts.isCondemned(request, this.nowMs), true);
  },
);
