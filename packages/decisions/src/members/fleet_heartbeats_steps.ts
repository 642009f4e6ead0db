import assert from 'node:assert/strict';
import {Given, Then, World} from '@cucumber/cucumber';
import {
  computeFleetHeartbeatMs,
  computeLiveAgeMs,
  computeReadyAgeMs,
} from './fleet_heartbeats.js';

interface FleetWorld extends World {
  daemons: number;
  intervalMs: number;
}

Given('a fleet of {int} daemons', function (this: FleetWorld, daemons: number) {
  this.daemons = daemons;
  this.intervalMs = computeFleetHeartbeatMs(daemons);
});

Then(
  'a daemon takes at most {int} heartbeats a second',
  function (this: FleetWorld, most: number) {
    assert.ok(((this.daemons - 1) * 1000) / this.intervalMs <= most);
  },
);

Then(
  'loads told by others are at most {int} ms old',
  function (this: FleetWorld, limitMs: number) {
    assert.ok(this.intervalMs <= limitMs);
  },
);

Then(
  'a daemon that died is no longer named to clients after {int} ms',
  function (this: FleetWorld, limitMs: number) {
    assert.ok(computeReadyAgeMs(this.intervalMs) <= limitMs);
  },
);

Then(
  'two heartbeats in a row must be lost before a live one is left out',
  function (this: FleetWorld) {
    assert.ok(computeReadyAgeMs(this.intervalMs) > 2 * this.intervalMs);
    assert.ok(computeLiveAgeMs(this.intervalMs) > 3 * this.intervalMs);
  },
);
