import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {ConnectionLoad, type ConnectionHolding} from './connection_load.js';
import {ConnectionSlots, computeMaxConnections} from './connection_slots.js';

/** World with the connections of one process. */
interface ConnectionsWorld extends World {
  holdings: ConnectionHolding<number>[];
  slots: ConnectionSlots<string>;
}

Given(
  /^connections that hold ([\d,]+) bytes and have stalled for ([\d,]+) ms$/,
  function (this: ConnectionsWorld, held: string, stalled: string) {
    const stalledMs = stalled.split(',').map(Number);
    this.holdings = held.split(',').map((bytes, index) => ({
      connection: index + 1,
      heldBytes: Number(bytes),
      stalledMs: stalledMs[index] ?? 0,
    }));
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
    for (const name of names.split(',')) {
      assert.equal(this.slots.add(name), undefined);
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

When('{string} becomes busy', function (this: ConnectionsWorld, name: string) {
  this.slots.setBusy(name);
});

Then(
  'a new connection {string} closes {string}',
  function (this: ConnectionsWorld, name: string, closed: string) {
    assert.equal(this.slots.add(name), closed);
  },
);

Then(
  /^a share of ([\d.]+) of (\d+) descriptors allows (\d+) connections$/,
  function (share: string, descriptors: string, count: string) {
    const computed = computeMaxConnections(Number(descriptors), Number(share));
    assert.equal(computed, Number(count));
  },
);
