import assert from 'node:assert/strict';
import {Given, Then, When} from '@cucumber/cucumber';
import {Effect, ManagedRuntime, Schema} from 'effect';
import {TestClock} from 'effect/testing';
import type {Address} from '@greengagecross/common';
import {PeerRpc, type PeerError, type PeerMethod} from '@greengagecross/peers';
import {FleetStateSource} from '../ports/fleet_state_source.js';
import {FleetState} from '../state/fleet_state.js';
import {DaemonState, type Heartbeat} from './heartbeat.js';
import {StateCatchUp} from './state_catch_up.js';

const ADDRESS: Address = {host: '127.0.0.1', port: 1};

/** Source of a daemon that does not follow the store. */
class NonFollowingSource extends FleetStateSource {
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

/**
 * Returns an empty list at the given revision for RPCs to hosts in `revisions`;
 * RPCs to other hosts never return.
 */
class PeersStandin extends PeerRpc {
  /** Number of RPCs that were sent. */
  calls = 0;
  answerMs = 0;
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
    const decoded = Schema.decodeUnknownSync(result)({backends});
    return Effect.succeed(decoded).pipe(Effect.delay(this.answerMs));
  }
}

/** Fixture of one daemon and the stand-in for its peers. */
interface CatchUpFixture {
  state: FleetState;
  peers: PeersStandin;
  catchUp: StateCatchUp;
  runtime: ManagedRuntime.ManagedRuntime<TestClock.TestClock, never>;
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

function startCatchUp(fixture: CatchUpFixture, heartbeat: Heartbeat): void {
  if (!fixture.catchUp.isBehind(heartbeat)) return;
  fixture.runtime.runFork(fixture.catchUp.run(heartbeat));
}

Given(
  'a daemon at revision {int} of the backend list',
  function (this: CatchUpFixture, revision: number) {
    this.state = new FleetState();
    this.state.backends.setAll([], {revision, changeRevision: revision}, 0);
    this.peers = new PeersStandin();
    const source = new NonFollowingSource();
    this.catchUp = new StateCatchUp(this.state, source, this.peers);
    this.runtime = ManagedRuntime.make(TestClock.layer());
  },
);

Given(
  'peers answer after {int} ms',
  function (this: CatchUpFixture, answerMs: number) {
    this.peers.answerMs = answerMs;
  },
);

When(
  /^peer "(\w+)" advertises revision (\d+) and answers no call$/,
  function (this: CatchUpFixture, id: string, revision: string) {
    startCatchUp(this, makeHeartbeat(id, Number(revision)));
  },
);

When(
  'peer {string} advertises revision {int}',
  function (this: CatchUpFixture, id: string, revision: number) {
    this.peers.revisions.set(id, revision);
    startCatchUp(this, makeHeartbeat(id, revision));
  },
);

When(
  '{int} ms pass for the fetches',
  async function (this: CatchUpFixture, ms: number) {
    await this.runtime.runPromise(TestClock.adjust(ms));
  },
);

Then(
  'the daemon holds revision {int} of the backend list',
  function (this: CatchUpFixture, revision: number) {
    assert.equal(this.state.backends.getRevision(), revision);
  },
);

Then(
  '{int} call(s) was/were sent to the peers',
  function (this: CatchUpFixture, count: number) {
    assert.equal(this.peers.calls, count);
  },
);
