import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {Effect, Schema} from 'effect';
import {readSteadyMs, SeededRandom, type Address} from '@greengagecross/common';
import {PeerRpc, type PeerError, type PeerMethod} from '@greengagecross/peers';
import type {BackendServer} from '../model/backend_server.js';
import {DEFAULT_CALLER_LIMITS} from '../model/caller_limits.js';
import {FleetStateSource} from '../ports/fleet_state_source.js';
import {FleetState} from '../state/fleet_state.js';
import type {FleetStateResult} from './fleet_state_message.js';
import {RouterMetrics} from '../metrics/router_metrics.js';
import {ConfigurationCatchUp} from './configuration_catch_up.js';
import {ConfigurationDocuments} from './configuration_documents.js';
import {DaemonState, type Heartbeat} from './heartbeat.js';
import {StateCatchUp} from './state_catch_up.js';

const ADDRESS: Address = {host: '127.0.0.1', port: 1};
const SERVER: BackendServer = {
  id: 's',
  service: 'a',
  address: ADDRESS,
  availabilityZone: 'z',
  slots: 1,
  isDraining: false,
  startedAtMs: 1,
};
const FIRST_REVISION = 5;
const STEP_MS = 1000;
/** The message and the daemon read the time of the process. */
const TOLERANCE_MS = 200;

class UnusedSource extends FleetStateSource {
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

/** Passes RPCs to another daemon's catch-up and records the queries. */
class OnePeer extends PeerRpc {
  query: object | undefined;

  constructor(private readonly answer: (query: object) => FleetStateResult) {
    super();
  }

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
  ): Effect.Effect<S['Type'], PeerError> {
    this.query = params;
    const text = JSON.stringify(this.answer(params));
    return Effect.succeed(Schema.decodeUnknownSync(result)(JSON.parse(text)));
  }
}

/** Fixture of a daemon with one server and of a peer that fetches its state. */
interface ColdStateWorld extends World {
  state: FleetState;
  /** When the first entry was received. */
  startMs: number;
  peer: FleetState;
  rpc: OnePeer;
  message: FleetStateResult;
}

function putEntry(
  {state}: ColdStateWorld,
  remainingMs: number | undefined,
  receivedAtMs: number,
  entryRevision: number,
  isDraining = false,
): void {
  const coldReport =
    remainingMs === undefined
      ? {}
      : {coldReport: {remainingMs, receivedAtMs, entryRevision}};
  const server = {...SERVER, isDraining, ...coldReport};
  const revision = state.backends.getRevision() + 1;
  const version = {era: 0, revision, changeRevision: revision};
  const changes = [{id: server.id, server}];
  state.backends.applyChanges(changes, version, receivedAtMs);
}

function makeCatchUp(state: FleetState, rpc: PeerRpc): StateCatchUp {
  return new StateCatchUp(state, new UnusedSource(), rpc);
}

async function fetchState(
  world: ColdStateWorld,
  isColdStateKnown: boolean,
): Promise<void> {
  const {state} = world;
  const unused = new OnePeer(() => assert.fail());
  const answering = makeCatchUp(state, unused);
  world.peer = new FleetState();
  world.rpc = new OnePeer(query =>
    answering.makeResult({
      isConfigurationWanted: true,
      backendsRevision: -1,
      ...query,
    }),
  );
  const heartbeat: Heartbeat = {
    id: 'other',
    availabilityZone: 'z',
    callers: ADDRESS,
    peers: ADDRESS,
    heartbeats: ADDRESS,
    incarnation: 1,
    sequence: 1,
    state: DaemonState.READY,
    intervalMs: 200,
    isStoreReached: true,
    configurationVersion: state.configuration.getVersion(),
    backendsChange: state.backends.getRevision(),
    inFlight: {},
    ...(isColdStateKnown ? {isColdStateKnown} : {}),
    crashes: {},
  };
  const catchUp = makeCatchUp(world.peer, world.rpc);
  const configurationCatchUp = new ConfigurationCatchUp(
    heartbeat,
    world.peer,
    new UnusedSource(),
    world.rpc,
    () => [heartbeat],
    new ConfigurationDocuments(world.peer),
    catchUp,
    new SeededRandom(1),
    new RouterMetrics(),
  );
  await Effect.runPromise(catchUp.run(heartbeat));
  await Effect.runPromise(configurationCatchUp.run(heartbeat));
}

function computeRemainingMs(state: FleetState, nowMs: number): number {
  const report = state.backends.find(SERVER.id)?.coldReport;
  assert.ok(report);
  return Math.max(0, report.receivedAtMs + report.remainingMs - nowMs);
}

Given(
  'a daemon with the entry of a server, cold for {int} ms',
  function (this: ColdStateWorld, remainingMs: number) {
    this.state = new FleetState();
    this.startMs = readSteadyMs() - STEP_MS;
    const configuration = {
      version: 1,
      routes: [],
      services: ['a'],
      limits: DEFAULT_CALLER_LIMITS,
      coldServices: {a: {requestsPerSecond: 11, startMs: 3000}},
    };
    this.state.configuration.set(configuration, this.startMs);
    const version = {
      era: 0,
      revision: FIRST_REVISION,
      changeRevision: FIRST_REVISION,
    };
    this.state.backends.setAll([], version, this.startMs);
    putEntry(this, remainingMs, this.startMs, FIRST_REVISION + 1);
  },
);

When(
  /^1000 ms pass and the entry of the server (.*)$/,
  function (this: ColdStateWorld, text: string) {
    const nowMs = this.startMs + STEP_MS;
    const left = /^says that (\d+) ms are left$/.exec(text);
    const entryRevision = FIRST_REVISION + 2;
    if (left !== null) putEntry(this, Number(left[1]), nowMs, entryRevision);
    else if (text === 'is read again') {
      const {backends} = this.state;
      const {remainingMs} = backends.find(SERVER.id)?.coldReport ?? {};
      putEntry(this, remainingMs, nowMs, FIRST_REVISION + 1);
    } else {
      const isDraining = text === 'says that it is draining';
      putEntry(this, undefined, nowMs, entryRevision, isDraining);
    }
  },
);

When(
  'a peer that knows cold servers fetches the state 1000 ms later',
  function (this: ColdStateWorld) {
    return fetchState(this, true);
  },
);

When(
  'a peer of an earlier release fetches the state',
  function (this: ColdStateWorld) {
    const unused = new OnePeer(() => assert.fail());
    const query = {isConfigurationWanted: true, backendsRevision: -1};
    this.message = makeCatchUp(this.state, unused).makeResult(query);
  },
);

When(
  /^a daemon fetches the state of a peer whose heartbeat says (nothing of them|that it knows them)$/,
  function (this: ColdStateWorld, text: string) {
    this.state = new FleetState();
    const version = {
      era: 0,
      revision: FIRST_REVISION,
      changeRevision: FIRST_REVISION,
    };
    this.state.backends.setAll([], version, 0);
    return fetchState(this, text === 'that it knows them');
  },
);

Then(
  /^it (counts|does not count) as a change of the list$/,
  function (this: ColdStateWorld, expected: string) {
    const {revision, changeRevision} = this.state.backends.getVersion();
    assert.equal(revision, FIRST_REVISION + 2);
    const isChange = changeRevision === revision;
    assert.equal(isChange, expected === 'counts');
  },
);

Then(
  'the daemon knows that the server is cold for {int} ms',
  function (this: ColdStateWorld, expectedMs: number) {
    const nowMs = this.startMs + STEP_MS;
    const remainingMs = Math.round(computeRemainingMs(this.state, nowMs));
    assert.equal(remainingMs, expectedMs);
  },
);

Then(
  'the peer knows that the server is cold for {int} ms, and the bound of its service',
  function (this: ColdStateWorld, expectedMs: number) {
    const remainingMs = computeRemainingMs(this.peer, this.startMs + STEP_MS);
    assert.ok(Math.abs(remainingMs - expectedMs) < TOLERANCE_MS);
    const configuration = this.peer.configuration.getView()?.configuration;
    const bound = {requestsPerSecond: 11, startMs: 3000};
    assert.deepEqual(configuration?.coldServices, {a: bound});
  },
);

Then(
  'the message says nothing of cold servers',
  function (this: ColdStateWorld) {
    assert.equal(this.message.backends.changed.length, 1);
    assert.doesNotMatch(JSON.stringify(this.message), /cold/i);
  },
);

Then(
  /^its query (names|does not name) cold servers$/,
  function (this: ColdStateWorld, expected: string) {
    const hasField = 'isColdStateWanted' in (this.rpc.query ?? {});
    assert.equal(hasField, expected === 'names');
  },
);
