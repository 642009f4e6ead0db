import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {PeerClient} from '@greengagecross/peers';
import {HttpClient} from '@greengagecross/http';
import {Effect} from 'effect';
import {DaemonState, type Heartbeat} from '../members/heartbeat.js';
import {StateCatchUp} from '../members/state_catch_up.js';
import {DEFAULT_CALLER_LIMITS} from '../model/caller_limits.js';
import {FleetStateSource} from '../ports/fleet_state_source.js';
import {EvacuatedZones, type EvacuationChange} from './evacuated_zones.js';
import {FleetState} from './fleet_state.js';
import {NO_STORE_VERSION, type StoreVersion} from './store_version.js';

const ADDRESS = {host: '127.0.0.1', port: 1};
const ZONES = ['a', 'b', 'c'];

/** World with the set of one daemon and its clock, or one starting daemon. */
interface EvacuationWorld {
  evacuated: EvacuatedZones;
  nowMs: number;
  state: FleetState;
}

/** Source of a daemon that does not reach the store. */
class NoSource extends FleetStateSource {
  override run(): Effect.Effect<never> {
    return Effect.never;
  }

  override setFollowing(): void {}

  override isFollowing(): boolean {
    return false;
  }

  override isReceiving(): boolean {
    return false;
  }

  override readConfiguration(): Effect.Effect<void> {
    return Effect.void;
  }
}

function parseVersion(text: string): StoreVersion {
  const [era, revision] = text.split('/').map(Number);
  return {era: era ?? 0, revision: revision ?? 0};
}

function parseZones(text: string): string[] {
  return text.split(',').filter(zone => zone !== '');
}

function makeHeartbeat(state: DaemonState, set: string): Heartbeat {
  const version = /version (\S+)/.exec(set)?.[1];
  const evacuated =
    version === undefined
      ? {zones: [], ...NO_STORE_VERSION}
      : {zones: [], ...parseVersion(version)};
  return {
    id: 'peer',
    availabilityZone: 'a',
    callers: ADDRESS,
    peers: ADDRESS,
    heartbeats: ADDRESS,
    incarnation: 1,
    sequence: 1,
    state,
    intervalMs: 200,
    isStoreReached: false,
    configurationVersion: 1,
    backendsChange: 1,
    ...(set === 'without a set' ? {} : {evacuated}),
    inFlight: {},
    crashes: {},
  };
}

Given(
  /^evacuated zones "([\w,]*)" read from the store at version (\S+)$/,
  function (this: EvacuationWorld, zones: string, version: string) {
    this.nowMs = 0;
    this.evacuated = new EvacuatedZones();
    this.evacuated.setAll(parseZones(zones), parseVersion(version), 0);
  },
);

When(
  /^the whole table is read with evacuated zones "([\w,]*)" at version (\S+)$/,
  function (this: EvacuationWorld, zones: string, version: string) {
    const {evacuated, nowMs} = this;
    evacuated.setAll(parseZones(zones), parseVersion(version), nowMs);
  },
);

When(
  /^a peer tells of evacuated zones "([\w,]*)" at version (\S+)$/,
  function (this: EvacuationWorld, zones: string, version: string) {
    const set = {zones: parseZones(zones), ...parseVersion(version)};
    this.evacuated.acceptSet(set, 'peer', this.nowMs);
  },
);

When(
  /^the store reports at version (\S+) that the evacuation of (.*)$/,
  function (this: EvacuationWorld, version: string, text: string) {
    const changes = [...text.matchAll(/"(\w+)" (begins|ends)/g)].map(
      ([, zone = '', change]): EvacuationChange => ({
        availabilityZone: zone,
        isEvacuated: change === 'begins',
      }),
    );
    this.evacuated.applyChanges(changes, parseVersion(version), this.nowMs);
  },
);

When(
  "{int} ms of the daemon's clock pass",
  function (this: EvacuationWorld, ms: number) {
    this.nowMs += ms;
    this.evacuated.removeExpired(this.nowMs);
  },
);

Then(
  /^the evacuated zones are "([\w,]*)"$/,
  function (this: EvacuationWorld, zones: string) {
    const {evacuated, nowMs} = this;
    const found = ZONES.filter(zone => evacuated.has(zone, nowMs));
    assert.deepEqual(found, parseZones(zones));
    assert.equal(evacuated.count(), found.length);
  },
);

Then(
  /^the set for peers has the zones "([\w,]*)" at version (\S+)$/,
  function (this: EvacuationWorld, zones: string, version: string) {
    const expected = {zones: parseZones(zones), ...parseVersion(version)};
    assert.deepEqual(this.evacuated.getSet(), expected);
  },
);

Given(
  'a starting daemon with a configuration and a list of servers',
  function (this: EvacuationWorld) {
    this.state = new FleetState();
    this.state.backends.setAll([], {era: 0, revision: 1, changeRevision: 1}, 0);
    const limits = DEFAULT_CALLER_LIMITS;
    const configuration = {version: 1, routes: [], services: [], limits};
    this.state.configuration.set(configuration, 0);
    assert.ok(!this.state.isComplete());
  },
);

When(
  /^it hears a (starting|ready) peer (.*)$/,
  function (this: EvacuationWorld, state: DaemonState, set: string) {
    const peers = new PeerClient(new HttpClient(), 'key', 1);
    const catchUp = new StateCatchUp(this.state, new NoSource(), peers);
    catchUp.applyEvacuated(makeHeartbeat(state, set), 0);
  },
);

Then(
  /^the starting daemon is (not ready|ready)$/,
  function (this: EvacuationWorld, result: string) {
    assert.equal(this.state.isComplete(), result === 'ready');
  },
);
