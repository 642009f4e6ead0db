import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {ConnectionLoad, type ConnectionHolding} from './connection_load.js';
import {ConnectionSlots, computeMaxConnections} from './connection_slots.js';

/** World with the connections of one process. */
interface ConnectionsWorld extends World {
  holdings: ConnectionHolding<number>[];
  slots: ConnectionSlots<string>;
  nowMs: number;
}

Given(
  /^connections that hold ([\d,]+) bytes and have stalled for ([\d,]+) ms$/,
  function (this: ConnectionsWorld, held: string, stalled: string) {
    const stalledMs = stalled.split(',').map(Number);
    this.holdings = held.split(',').map((bytes, index) => ({
      connection: index + 1,
      heldBytes: Number(bytes),
      aheadBytes: 0,
      stalledMs: stalledMs[index] ?? 0,
    }));
  },
);

Given(
  '{int} connections that hold {int} bytes and have stalled for {int} ms',
  function (
    this: ConnectionsWorld,
    count: number,
    heldBytes: number,
    stalledMs: number,
  ) {
    this.holdings = Array.from({length: count}, (_, connection) => ({
      connection,
      heldBytes,
      aheadBytes: 0,
      stalledMs,
    }));
  },
);

Given(
  /^connections that hold ([\d,]+) bytes, ([\d,]+) of them sent ahead$/,
  function (this: ConnectionsWorld, held: string, ahead: string) {
    const aheadBytes = ahead.split(',').map(Number);
    this.holdings = held.split(',').map((bytes, index) => ({
      connection: index + 1,
      heldBytes: Number(bytes),
      aheadBytes: aheadBytes[index] ?? 0,
      stalledMs: 0,
    }));
  },
);

Then(
  /^with a limit of (\d+) bytes, a body of (\d+|unknown) bytes is (refused|read)$/,
  function (
    this: ConnectionsWorld,
    limit: string,
    bytes: string,
    result: string,
  ) {
    const load = new ConnectionLoad(Number(limit));
    load.chooseClosed(this.holdings);
    const length = bytes === 'unknown' ? undefined : Number(bytes);
    assert.equal(load.isBodyRefused(length), result === 'refused');
  },
);

Then(
  'a limit of {int} bytes closes {int} of them',
  function (this: ConnectionsWorld, limit: number, count: number) {
    const load = new ConnectionLoad(limit);
    assert.equal(load.chooseClosed(this.holdings).length, count);
    assert.equal(load.isFull(), false);
  },
);

Then(
  /^a limit of (\d+) bytes closes ([\d,]+|none)$/,
  function (this: ConnectionsWorld, limit: string, closed: string) {
    const load = new ConnectionLoad(Number(limit));
    const chosen = load.chooseClosed(this.holdings);
    assert.equal(chosen.join(',') || 'none', closed);
    assert.equal(load.countClosures(), chosen.length);
  },
);

Given(
  'a listener with {int} connections {string} at most',
  function (this: ConnectionsWorld, count: number, names: string) {
    this.slots = new ConnectionSlots(count);
    this.nowMs = 0;
    for (const name of names.split(',')) {
      assert.equal(this.slots.add(name, 0), undefined);
    }
  },
);

When(
  '{string} becomes idle and {string} becomes busy',
  function (this: ConnectionsWorld, idle: string, busy: string) {
    this.slots.setBusy(idle);
    this.slots.setIdle(idle);
    this.slots.setBusy(busy);
  },
);

When(
  '{int} ms pass for the listener',
  function (this: ConnectionsWorld, ms: number) {
    this.nowMs += ms;
  },
);

When('{string} becomes idle', function (this: ConnectionsWorld, name: string) {
  this.slots.setBusy(name);
  this.slots.setIdle(name);
});

When('{string} becomes busy', function (this: ConnectionsWorld, name: string) {
  this.slots.setBusy(name);
});

When('{string} become busy', function (this: ConnectionsWorld, names: string) {
  for (const name of names.split(',')) this.slots.setBusy(name);
});

When(
  '{string} receives a part of a request',
  function (this: ConnectionsWorld, name: string) {
    this.slots.setReceiving(name, this.nowMs);
  },
);

When(
  /^the client of "(\w+)" (stops reading|reads again)$/,
  function (this: ConnectionsWorld, name: string, what: string) {
    this.slots.setStalled(name, what === 'stops reading');
  },
);

Then(
  /^the listener is (not )?full$/,
  function (this: ConnectionsWorld, not: string | null) {
    assert.equal(this.slots.isFull(this.nowMs), not === null);
  },
);

Then(
  'a new connection {string} closes {string}',
  function (this: ConnectionsWorld, name: string, closed: string) {
    assert.equal(this.slots.add(name, this.nowMs), closed);
  },
);

Then(
  /^a share of ([\d.]+) of (\d+) descriptors allows (\d+) connections$/,
  function (share: string, descriptors: string, count: string) {
    const computed = computeMaxConnections(Number(descriptors), Number(share));
    assert.equal(computed, Number(count));
  },
);
