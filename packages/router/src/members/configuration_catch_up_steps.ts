import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {ManagedRuntime} from 'effect';
import {TestClock} from 'effect/testing';
import {SeededRandom} from '@greengagecross/common';
import {RouterMetrics} from '../metrics/router_metrics.js';
import {FleetState} from '../state/fleet_state.js';
import {ConfigurationCatchUp} from './configuration_catch_up.js';
import {ConfigurationDocuments} from './configuration_documents.js';
import {makeTestConfiguration} from './configuration_spread.js';
import {
  makeDocument,
  makeFaultyDocument,
  PeersStandin,
  StoreStandin,
  type Answer,
} from './configuration_standins.js';
import type {Heartbeat} from './heartbeat.js';
import {makeTestHeartbeat, makeTestIdentity} from './make_test_heartbeat.js';
import {StateCatchUp} from './state_catch_up.js';

const ZONE = 'a';

/** Fixture of one daemon, the stand-ins for its peers and for the store. */
interface ConfigurationWorld {
  state: FleetState;
  peers: PeersStandin;
  source: StoreStandin;
  catchUp: StateCatchUp;
  configurationCatchUp: ConfigurationCatchUp;
  heartbeats: Heartbeat[];
  runtime: ManagedRuntime.ManagedRuntime<TestClock.TestClock, never>;
}

function addPeer(
  world: ConfigurationWorld,
  id: string,
  answer: Answer,
  answerMs: number,
  zone = ZONE,
): void {
  world.peers.standins.set(id, {answer, answerMs});
  world.heartbeats.push(makeTestHeartbeat(makeTestIdentity(id, zone), 2));
}

Given(
  'a daemon at version {int} of the configuration in zone {string}',
  function (this: ConfigurationWorld, version: number, zone: string) {
    this.state = new FleetState();
    this.state.configuration.set(makeTestConfiguration(version, 1), 0);
    this.runtime = ManagedRuntime.make(TestClock.layer());
    this.peers = new PeersStandin();
    this.source = new StoreStandin(this.state);
    this.heartbeats = [];
    this.catchUp = new StateCatchUp(this.state, this.source, this.peers);
    this.configurationCatchUp = new ConfigurationCatchUp(
      makeTestIdentity('self', zone),
      this.state,
      this.source,
      this.peers,
      () => this.heartbeats,
      new ConfigurationDocuments(this.state),
      this.catchUp,
      new SeededRandom(1),
      new RouterMetrics(),
    );
  },
);

Given(
  /^peers? "([\w,]+)"(?: in zone "(\w+)")? holds? version (\d+) and sends? it in (\d+) ms$/,
  function (
    this: ConfigurationWorld,
    ids: string,
    zone: string | null,
    version: string,
    ms: string,
  ) {
    const document = makeDocument(Number(version));
    for (const id of ids.split(',')) {
      addPeer(this, id, () => ({document}), Number(ms), zone ?? ZONE);
    }
  },
);

Given(
  /^peers "([\w,]+)" hold version 2 and never answer$/,
  function (this: ConfigurationWorld, ids: string) {
    for (const id of ids.split(',')) addPeer(this, id, () => undefined, 0);
  },
);

Given(
  'peer {string} was sent version 2 and sends it in {int} ms',
  function (this: ConfigurationWorld, id: string, answerMs: number) {
    const document = makeDocument(2);
    this.peers.standins.set(id, {answer: () => ({document}), answerMs});
  },
);

Given(
  'peer {string} holds version 2, is busy for {int} ms and refers to {string}',
  function (this: ConfigurationWorld, id: string, ms: number, other: string) {
    const document = makeDocument(2);
    const holders =
      other === '' ? [] : [{id: other, address: {host: other, port: 1}}];
    const busy = {version: 2, retryAfterMs: ms, holders};
    let calls = 0;
    const answer: Answer = () => {
      calls += 1;
      return calls === 1 ? {busy} : {document};
    };
    addPeer(this, id, answer, 0);
  },
);

Given(
  'peer {string} holds version 2 and gives a turn at {string} after {int} ms',
  function (this: ConfigurationWorld, id: string, other: string, ms: number) {
    const turn = {peer: {id: other, address: {host: other, port: 1}}};
    const busy = {version: 2, retryAfterMs: 5000, holders: []};
    const answer = {busy: {...busy, turn: {...turn, afterMs: ms}}};
    addPeer(this, id, () => answer, 0);
  },
);

Given(
  /^peer "faulty" holds version 2 and sends a document that (.*)$/,
  function (this: ConfigurationWorld, fault: string) {
    const document = makeFaultyDocument(fault);
    addPeer(this, 'faulty', () => ({document}), 0);
  },
);

Given(
  'peer {string} of an earlier release holds version 2',
  function (this: ConfigurationWorld, id: string) {
    const {isConfigurationServed, ...heartbeat} = makeTestHeartbeat(
      makeTestIdentity(id, ZONE),
      2,
    );
    assert.ok(isConfigurationServed);
    this.heartbeats.push(heartbeat);
  },
);

Given(
  'peer {string} holds revision {int} of the backend list',
  function (this: ConfigurationWorld, id: string, revision: number) {
    this.peers.backendsRevision = revision;
    this.heartbeats = this.heartbeats.map(heartbeat =>
      heartbeat.id === id
        ? {...heartbeat, backendsChange: revision}
        : heartbeat,
    );
  },
);

Given('the store holds version 2', function (this: ConfigurationWorld) {
  this.source.version = 2;
});

Given(
  'the daemon follows the store, whose reply is arriving',
  function (this: ConfigurationWorld) {
    this.source.isFollower = true;
    this.source.isReplyArriving = true;
  },
);

When(
  'the reply of the store ends without a newer version',
  function (this: ConfigurationWorld) {
    this.source.isReplyArriving = false;
  },
);

When(
  'the peers advertise their configurations',
  function (this: ConfigurationWorld) {
    for (const heartbeat of this.heartbeats) {
      for (const part of [this.configurationCatchUp, this.catchUp]) {
        if (!part.isBehind(heartbeat)) continue;
        this.runtime.runFork(part.run(heartbeat));
      }
    }
  },
);

When('the peers are no longer running', function (this: ConfigurationWorld) {
  this.heartbeats = [];
});

When(
  '{int} ms pass for the configuration',
  async function (this: ConfigurationWorld, ms: number) {
    await this.runtime.runPromise(TestClock.adjust(ms));
  },
);

Then(
  'the daemon holds version {int} of the configuration',
  function (this: ConfigurationWorld, version: number) {
    assert.equal(this.state.configuration.getVersion(), version);
  },
);

Then(
  'the daemon knows revision {int} of the backend list',
  function (this: ConfigurationWorld, revision: number) {
    assert.equal(this.state.backends.getRevision(), revision);
  },
);

Then(
  /^the peers were asked (\d+) times? for their configurations$/,
  function (this: ConfigurationWorld, count: string) {
    assert.equal(this.peers.asked.length, Number(count));
  },
);

Then(
  'the peers were asked in the order {string}',
  function (this: ConfigurationWorld, ids: string) {
    assert.equal(this.peers.asked.join(','), ids);
  },
);

Then(
  /^the store was read (\d+)(?: to (\d+))? times? for the configuration$/,
  function (this: ConfigurationWorld, least: string, most: string | null) {
    const {reads} = this.source;
    assert.ok(reads >= Number(least), `${reads}`);
    assert.ok(reads <= Number(most ?? least), `${reads}`);
  },
);
