import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {CrashSuspects} from './crash_suspects.js';
import {CutAttempts} from './cut_attempts.js';
import {listSuspects, makeRequestSuspectId} from './suspect_ids.js';

/** Time from the sending of a request to its cut. */
const RUN_MS = 20;
const RESEND_MS = 400;

/** What one daemon knows of crashes, and the messages of another. */
interface CrashWorld extends World {
  cuts: CutAttempts;
  suspects: CrashSuspects;
  nowMs: number;
  servers: number;
}

/** Sends a request to a new server, which cuts it; returns the server's id. */
function recordCut(world: CrashWorld, request: string): string {
  world.servers += 1;
  world.nowMs += RESEND_MS;
  const sentAtMs = world.nowMs;
  world.nowMs += RUN_MS;
  const id = `s${world.servers}`;
  const suspects = listSuspects([], request);
  world.cuts.add(id, {
    suspects,
    atMs: world.nowMs,
    sentAtMs,
    wasUp: true,
  });
  return id;
}

function recordDown(world: CrashWorld, server: string): void {
  const cuts = world.cuts.takeRecent(server, world.nowMs);
  for (const {suspects, atMs, sentAtMs} of cuts) {
    world.suspects.recordCrash(suspects, {server, atMs, sentAtMs});
  }
}

function isCondemned({suspects}: CrashWorld, request: string): boolean {
  const id = makeRequestSuspectId(request);
  return suspects.findCondemned([id]) !== undefined;
}

Given('no crashes are counted', function (this: CrashWorld) {
  this.cuts = new CutAttempts();
  this.suspects = new CrashSuspects();
  this.nowMs = 0;
  this.servers = 0;
});

When(
  'request {string} is disconnected from {int} servers that stay up',
  function (this: CrashWorld, request: string, servers: number) {
    for (let at = 0; at < servers; at += 1) {
      this.cuts.remove(recordCut(this, request));
    }
  },
);

When(
  'request {string} is disconnected from {int} servers that go down {int} ms later',
  function (this: CrashWorld, request: string, servers: number, ms: number) {
    for (let at = 0; at < servers; at += 1) {
      const server = recordCut(this, request);
      this.nowMs += ms;
      recordDown(this, server);
    }
  },
);

When(
  'another daemon reports {int} crashes of request {string}',
  function (this: CrashWorld, crashes: number, request: string) {
    const other = new CrashSuspects();
    for (let at = 0; at < crashes; at += 1) {
      this.nowMs += RESEND_MS;
      const crash = {
        server: `other-${at}`,
        atMs: this.nowMs,
        sentAtMs: this.nowMs - RUN_MS,
      };
      other.recordCrash(listSuspects([], request), crash);
    }
    this.suspects.merge(other.listReports(8, this.nowMs), this.nowMs);
  },
);

When(
  'request {string} completes',
  function (this: CrashWorld, request: string) {
    this.nowMs += RESEND_MS;
    this.suspects.recordAnswer([makeRequestSuspectId(request)], this.nowMs);
    this.nowMs += RESEND_MS;
  },
);

Then(
  'request {string} may be sent',
  function (this: CrashWorld, request: string) {
    assert.equal(isCondemned(this, request), false);
  },
);

Then(
  'request {string} is condemned',
  function (this: CrashWorld, request: string) {
    assert.equal(isCondemned(this, request), true);
  },
);

When(
  'requests {string} and {string} are disconnected from {int} servers that go down {int} ms later, and {string} from {int} more',
  function (
    this: CrashWorld,
    request: string,
    beside: string,
    servers: number,
    ms: number,
    again: string,
    more: number,
  ) {
    for (let at = 0; at < servers + more; at += 1) {
      const server = recordCut(this, at < servers ? request : again);
      if (at < servers) {
        const sentAtMs = this.nowMs - RUN_MS;
        const suspects = listSuspects([], beside);
        const atMs = this.nowMs;
        this.cuts.add(server, {suspects, atMs, sentAtMs, wasUp: true});
      }
      this.nowMs += ms;
      recordDown(this, server);
    }
  },
);
