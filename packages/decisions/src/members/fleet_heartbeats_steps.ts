import assert from 'node:assert/strict';
import {Given, Then, World} from '@cucumber/cucumber';
import {
  computeFleetHeartbeatMs,
  computeLiveAgeMs,
  computeReadyAgeMs,
} from './fleet_heartbeats.js';

/** Fixture of a fleet size and the heartbeat interval computed for it. */
interface FleetHeartbeatWorld extends World {
  daemons: number;
  intervalMs: number;
}

Given(
  'a fleet of {int} daemons',
  function (this: FleetHeartbeatWorld, daemons: number) {
    this.daemons = daemons;
    this.intervalMs = computeFleetHeartbeatMs(daemons);
  },
);

Then(
  'a daemon receives at most {int} heartbeats a second',
  function (this: FleetHeartbeatWorld, most: number) {
    assert.ok(((this.daemons - 1) * 1000) / this.intervalMs <= most);
  },
);

Then(
  'loads received from other daemons are at most {int} ms old',
  function (this: FleetHeartbeatWorld, limitMs: number) {
    assert.ok(this.intervalMs <= limitMs);
  },
);

Then(
  'a dead daemon is left out of the directory after {int} ms',
  function (this: FleetHeartbeatWorld, limitMs: number) {
    assert.ok(computeReadyAgeMs(this.intervalMs) <= limitMs);
  },
);

Then(
  'a live daemon is left out only after two lost heartbeats in a row, and counts as running for one more',
  function (this: FleetHeartbeatWorld) {
    assert.ok(computeReadyAgeMs(this.intervalMs) > 2 * this.intervalMs);
    assert.ok(computeLiveAgeMs(this.intervalMs) > 3 * this.intervalMs);
  },
);
