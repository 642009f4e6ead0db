import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {DEFAULT_CALLER_LIMITS} from '../model/caller_limits.js';
import {FleetState} from './fleet_state.js';

/** World with the state of one daemon and the lags of its activations. */
interface LagWorld {
  lagState: FleetState;
  endedLagsMs: number[];
}

function setConfiguration(
  world: LagWorld,
  version: number,
  nowMs: number,
): void {
  const limits = DEFAULT_CALLER_LIMITS;
  const configuration = {version, routes: [], services: [], limits};
  assert.ok(world.lagState.configuration.set(configuration, nowMs));
}

Given(
  'a daemon with configuration {int} at {int} ms',
  function (this: LagWorld, version: number, nowMs: number) {
    this.endedLagsMs = [];
    this.lagState = new FleetState(lagMs => this.endedLagsMs.push(lagMs));
    setConfiguration(this, version, nowMs);
  },
);

When(
  'a peer advertises configuration {int} at {int} ms',
  function (this: LagWorld, version: number, nowMs: number) {
    this.lagState.configuration.advertised.record(version, nowMs);
  },
);

When(
  'a peer with configuration {int} confirms at {int} ms',
  function (this: LagWorld, version: number, nowMs: number) {
    this.lagState.recordConfirmed(version, nowMs);
  },
);

When(
  'the store confirms the configuration at {int} ms',
  function (this: LagWorld, nowMs: number) {
    this.lagState.configuration.recordConfirmed(nowMs);
  },
);

When(
  'configuration {int} becomes active at {int} ms',
  function (this: LagWorld, version: number, nowMs: number) {
    setConfiguration(this, version, nowMs);
  },
);

When(
  'the running peers have configurations {string} at {int} ms',
  function (this: LagWorld, versions: string, nowMs: number) {
    const numbers = versions.split(',').map(Number);
    this.lagState.configuration.advertised.keepAdvertised(numbers, nowMs);
  },
);

Then(
  /^at (\d+) ms the configuration is (\d+) ms old and lags by (\d+) ms(?: behind (\d+))?$/,
  function (
    this: LagWorld,
    nowMs: string,
    ageMs: string,
    lagMs: string,
    newer: string | null,
  ) {
    const fields = this.lagState.describe(Number(nowMs));
    const expected = newer === null ? undefined : Number(newer);
    assert.equal(fields['newerConfiguration'], expected);
    assert.equal(fields['configurationLagMs'], Number(lagMs));
    assert.equal(fields['configurationAgeMs'], Number(ageMs));
  },
);

Then(
  'the activation ended a lag of {int} ms',
  function (this: LagWorld, lagMs: number) {
    assert.equal(this.endedLagsMs.at(-1), lagMs);
  },
);
