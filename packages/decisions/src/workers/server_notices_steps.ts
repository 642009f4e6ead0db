import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {ServerNotices, type ServerStart} from './server_notices.js';

/** Notices of one server, or of several. */
interface NoticesWorld extends World {
  notices: ServerNotices;
  server: ServerStart;
  servers: ServerStart[];
  nowMs: number;
}

function makeWorld(world: NoticesWorld): void {
  world.notices = new ServerNotices();
  world.server = {id: 's', startedAtMs: 1};
  world.nowMs = 1000;
}

Given(
  /^a server that ((?:is leaving|wants a pause|was replaced).*)$/,
  function (this: NoticesWorld, text: string) {
    makeWorld(this);
    for (const event of text.split(', then ')) {
      const seconds = /\d+/.exec(event)?.[0];
      if (event === 'starts anew') this.server = {id: 's', startedAtMs: 2};
      else if (event === 'was replaced') {
        this.notices.recordReplaced(this.server, this.nowMs);
      } else if (seconds === undefined) this.notices.recordLeaving(this.server);
      else {
        const pauseMs = Number(seconds) * 1000;
        this.notices.recordPause(this.server, pauseMs, this.nowMs);
      }
    }
  },
);

Given(
  'servers that want pauses of {int} s, {int} s and {int} s',
  function (this: NoticesWorld, first: number, second: number, third: number) {
    makeWorld(this);
    this.servers = [first, second, third].map((seconds, at) => {
      const server = {id: `s${at}`, startedAtMs: 1};
      this.notices.recordPause(server, seconds * 1000, this.nowMs);
      return server;
    });
  },
);

When(
  '{float} s pass for the server',
  function (this: NoticesWorld, seconds: number) {
    this.nowMs += seconds * 1000;
  },
);

Then(
  /^the server is (available|unavailable)$/,
  function (this: NoticesWorld, expected: string) {
    const isAvailable = this.notices.isAvailable(this.server, this.nowMs);
    assert.equal(isAvailable, expected === 'available');
  },
);

When('the first of them was replaced', function (this: NoticesWorld) {
  const server = this.servers.find(({id}) => id === 's1');
  assert.ok(server);
  this.notices.recordReplaced(server, this.nowMs);
});

Then(
  'the first takes requests after {int} s',
  function (this: NoticesWorld, seconds: number) {
    const waitMs = this.notices.computeWaitMs(this.servers, this.nowMs);
    assert.equal(waitMs, seconds * 1000);
  },
);
