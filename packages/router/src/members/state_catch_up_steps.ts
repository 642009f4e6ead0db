import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Effect, Schema} from 'effect';
import type {Address} from '@greengagecross/common';
import {
  PeerCaller,
  type PeerError,
  type PeerMethod,
} from '@greengagecross/peers';
import {FleetStateSource} from '../ports/fleet_state_source.js';
import {FleetState} from '../state/fleet_state.js';
import {DaemonState, type Heartbeat} from './heartbeat.js';
import {StateCatchUp} from './state_catch_up.js';

const ADDRESS: Address = {host: '127.0.0.1', port: 1};

/** A daemon that leaves the store to others. */
class UnusedSource extends FleetStateSource {
  override run(): Effect.Effect<never> {
    return Effect.never;
  }

  override setFollowing(): void {}

  override isFollowing(): boolean {
    return false;
  }

  override readConfiguration(): Effect.Effect<void> {
    return Effect.void;
  }
}

/** Answers calls to some hosts with an empty list, to others never. */
class PeersStandin extends PeerCaller {
  calls = 0;
  readonly revisions = new Map<string, number>();

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
    params: object,
    result: S,
  ): Effect.Effect<S['Type'], PeerError> {
    this.calls += 1;
    const revision = this.revisions.get(address.host);
    if (revision === undefined) return Effect.never;
    const backends = {
      changed: [],
      removed: [],
      lapsed: [],
      revision,
      changeRevision: revision,
    };
    return Effect.succeed(Schema.decodeUnknownSync(result)({backends}));
  }
}

interface CatchUpWorld {
  state: FleetState;
  peers: PeersStandin;
  catchUp: StateCatchUp;
}

function makeHeartbeat(id: string, backendsChange: number): Heartbeat {
  return {
    id,
    availabilityZone: 'a',
    callers: ADDRESS,
    peers: {...ADDRESS, host: id},
    heartbeats: ADDRESS,
    incarnation: 1,
    sequence: 1,
    state: DaemonState.READY,
    intervalMs: 200,
    isStoreReached: true,
    configurationVersion: -1,
    backendsChange,
    inFlight: {},
    crashes: {},
  };
}

function startCatchUp(world: CatchUpWorld, heartbeat: Heartbeat): void {
  if (!world.catchUp.isBehind(heartbeat)) return;
  Effect.runFork(world.catchUp.run(heartbeat));
}

Given(
  'a daemon at version {int} of the backend list',
  function (this: CatchUpWorld, revision: number) {
    this.state = new FleetState();
    this.state.backends.setAll([], {revision, changeRevision: revision}, 0);
    this.peers = new PeersStandin();
    const source = new UnusedSource();
    this.catchUp = new StateCatchUp(this.state, source, this.peers);
  },
);

When(
  /^it hears that "(\w+)" knows version (\d+), but it answers no call$/,
  function (this: CatchUpWorld, id: string, revision: string) {
    startCatchUp(this, makeHeartbeat(id, Number(revision)));
  },
);

When(
  'it hears that {string} knows version {int}',
  function (this: CatchUpWorld, id: string, revision: number) {
    this.peers.revisions.set(id, revision);
    startCatchUp(this, makeHeartbeat(id, revision));
  },
);

Then(
  'it knows version {int} of the backend list',
  function (this: CatchUpWorld, revision: number) {
    assert.equal(this.state.backends.getRevision(), revision);
  },
);

Then(
  '{int} call(s) was/were sent to its peers',
  function (this: CatchUpWorld, count: number) {
    assert.equal(this.peers.calls, count);
  },
);
