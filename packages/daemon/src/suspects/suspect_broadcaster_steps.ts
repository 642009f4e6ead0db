import assert from 'node:assert/strict';
import {Given, Then, When, type World} from '@cucumber/cucumber';
import {Clock, Effect, type Schema} from 'effect';
import {TestClock} from 'effect/testing';
import {
  MemberState,
  SuspectState,
  type Address,
  type Member,
} from '@greengagecross/common';
import {SuspectRegistry} from '@greengagecross/decisions';
import {PeerRpc, PeerError, type PeerMethod} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';
import type {MemberService} from '../members/member_service.js';
import {SuspectBroadcaster} from './suspect_broadcaster.js';
import {SuspectRecipients} from './suspect_recipients.js';

const KEEP_MS = 600_000;
const SELF = 'entry-1';
const PEER = {id: 'entry-2', host: '127.0.0.1', port: 1};
const FAILED_CALLS: Readonly<Record<string, number>> = {
  three: 3,
  one: 1,
};

/** A stand-in for peer calls that fails the first calls. */
class FailingPeerCaller extends PeerRpc {
  receivedAtMs: number | undefined;

  constructor(private failuresLeft: number) {
    super();
  }

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
  ): Effect.Effect<S['Type'], PeerError> {
    return Effect.gen({self: this}, function* () {
      this.failuresLeft -= 1;
      if (this.failuresLeft >= 0) {
        return yield* Effect.fail(new PeerError(method, address.host));
      }
      this.receivedAtMs ??= yield* Clock.currentTimeMillis;
      return {};
    });
  }
}

/** Fixture of one broadcaster of suspects and one peer. */
interface BroadcastWorld extends World {
  /** The words of the Given step that describe the peer. */
  peerState: string;
  /** Virtual time at which the peer received the first report. */
  receivedAtMs: number | undefined;
  /** Virtual time at which `send` ended, so that a caller would be answered. */
  completedAtMs: number;
}

Given(
  /^a daemon that broadcasts suspects and a peer that (.+)$/,
  function (this: BroadcastWorld, peerState: string) {
    this.peerState = peerState;
  },
);

When(
  'the daemon broadcasts a condemned request in virtual time',
  async function (this: BroadcastWorld) {
    const {peerState} = this;
    const isListed = peerState.includes('host list only');
    const isSuspect = peerState.includes('suspected');
    const member = {
      id: PEER.id,
      controlAddress: PEER,
      state: isSuspect ? MemberState.SUSPECT : MemberState.LIVE,
    } as unknown as Member;
    const members = {listAllOthers: () => (isListed ? [] : [member])};
    const entry = {id: PEER.id, host: PEER.host, controlPort: PEER.port};
    const hosts = {listEntryHosts: () => (isListed ? [entry] : [])};
    const [, count = ''] = /misses (\w+) call/.exec(peerState) ?? [];
    const peer = new FailingPeerCaller(FAILED_CALLS[count] ?? 0);
    const registry = new SuspectRegistry(KEEP_MS);
    const broadcaster = new SuspectBroadcaster(
      registry,
      new SuspectRecipients(
        SELF,
        members as unknown as MemberService,
        hosts as unknown as HostFollower,
      ),
      peer,
    );
    const program = Effect.gen({self: this}, function* () {
      yield* Effect.forkChild(broadcaster.run());
      const condemned = registry.recordCrash('fingerprint', true, 0);
      assert.equal(condemned.state, SuspectState.CONDEMNED);
      yield* Effect.forkChild(
        Effect.andThen(
          broadcaster.send(condemned),
          Effect.map(Clock.currentTimeMillis, nowMs => {
            this.completedAtMs = nowMs;
          }),
        ),
      );
      yield* TestClock.adjust('10 seconds');
    });
    await Effect.runPromise(Effect.provide(program, TestClock.layer()));
    this.receivedAtMs = peer.receivedAtMs;
  },
);

Then(
  /^the peer receives the report (before the caller|within 2 s after the caller) is answered$/,
  function (this: BroadcastWorld, when: string) {
    const {receivedAtMs, completedAtMs} = this;
    assert.ok(receivedAtMs !== undefined, 'the peer received nothing');
    const afterMs = receivedAtMs - completedAtMs;
    if (when === 'before the caller') assert.ok(afterMs <= 0, `${afterMs}`);
    else assert.ok(afterMs > 0 && afterMs <= 2000, `${afterMs}`);
  },
);
