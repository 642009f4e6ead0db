import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {readSteadyMs} from '@greengagecross/common';
import {FleetWatch, LoadSums} from '@greengagecross/decisions';
import {MemberView} from '../members/member_view.js';
import {RouterMetrics} from '../metrics/router_metrics.js';
import {DEFAULT_CALLER_LIMITS} from '../model/caller_limits.js';
import {FleetState} from '../state/fleet_state.js';
import {ColdServers} from './cold_servers.js';

const SERVICE = 'a';
const SERVER_ID = 's';
const ZONE = 'z1';
const LIMITS = {overage: 1, slack: 0};
const COLD_MS = 60_000;

/** Fixture of one daemon with one server. */
interface ColdServersWorld extends World {
  cold: ColdServers;
  state: FleetState;
  isEvacuated: boolean;
}

Given(
  /^a daemon with a list of one server whose entry says (nothing|that it is cold)(, without limits|, without bound)?$/,
  function (this: ColdServersWorld, entry: string, without?: string) {
    const nowMs = readSteadyMs();
    this.state = new FleetState();
    this.isEvacuated = false;
    const bound = {requestsPerSecond: 0.5, startMs: COLD_MS};
    this.state.configuration.set(
      {
        version: 1,
        routes: [],
        services: [SERVICE],
        limits: DEFAULT_CALLER_LIMITS,
        ...(without === ', without bound'
          ? {}
          : {coldServices: {[SERVICE]: bound}}),
      },
      nowMs,
    );
    const coldReport = {
      remainingMs: COLD_MS,
      receivedAtMs: nowMs,
      entryRevision: 1,
    };
    const server = {
      id: SERVER_ID,
      service: SERVICE,
      address: {host: '127.0.0.1', port: 1},
      availabilityZone: ZONE,
      slots: 1,
      isDraining: false,
      startedAtMs: 0,
      ...(entry === 'nothing' ? {} : {coldReport}),
    };
    const version = {era: 0, revision: 1, changeRevision: 1};
    this.state.backends.setAll([server], version, nowMs);
    this.state.evacuated.setAll([], version, nowMs);
    this.cold = new ColdServers(
      'edge-1',
      without === ', without limits' ? undefined : LIMITS,
      this.state,
      new MemberView('edge-1', new FleetWatch('edge-1', 1), new LoadSums()),
      new RouterMetrics(),
      () => this.isEvacuated,
    );
    this.cold.update();
  },
);

Given(
  'the zone of the server is evacuated for the daemon',
  function (this: ColdServersWorld) {
    this.isEvacuated = true;
    this.cold.update();
  },
);

When(
  'the evacuation of the zone of the server ends',
  function (this: ColdServersWorld) {
    this.isEvacuated = false;
  },
);

When(
  'an attempt of the daemon cannot reach the server',
  function (this: ColdServersWorld) {
    this.cold.recordUnreachable(SERVER_ID, readSteadyMs());
  },
);

When('the server replies to the daemon', function (this: ColdServersWorld) {
  this.cold.recordReachable(SERVER_ID);
});

When(
  /^settings (with|without) limits for cold servers are read$/,
  function (this: ColdServersWorld, how: string) {
    this.cold.setLimits(how === 'with' ? LIMITS : undefined);
  },
);

Then(
  /^the server of the daemon is (available|held back)$/,
  function (this: ColdServersWorld, expected: string) {
    const servers = this.state.backends.listReady(SERVICE);
    const kept = this.cold.keepAvailable(SERVICE, servers, readSteadyMs());
    assert.equal(kept.length, expected === 'available' ? 1 : 0);
  },
);
