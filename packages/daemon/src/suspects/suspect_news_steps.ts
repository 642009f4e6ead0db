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
import {PeerCaller, PeerError, type PeerMethod} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';
import type {MemberService} from '../members/member_service.js';
import {SuspectNews} from './suspect_news.js';
import {ToldDaemons} from './told_daemons.js';

const KEEP_MS = 600_000;
const SELF = 'entry-1';
const PEER = {id: 'entry-2', host: '127.0.0.1', port: 1};
const MISSED_CALLS: Readonly<Record<string, number>> = {
  three: 3,
  one: 1,
};

/** A peer that misses its first calls. */
class MissingPeer extends PeerCaller {
  toldAtMs: number | undefined;

  constructor(private misses: number) {
    super();
  }

  override send<S extends Schema.ConstraintDecoder<unknown>>(
    address: Address,
    method: PeerMethod,
  ): Effect.Effect<S['Type'], PeerError> {
    return Effect.gen({self: this}, function* () {
      this.misses -= 1;
      if (this.misses >= 0) {
        return yield* Effect.fail(new PeerError(method, address.host));
      }
      this.toldAtMs ??= yield* Clock.currentTimeMillis;
      return {};
    });
  }
}

/** State of one scenario about news of suspects. */
interface NewsWorld extends World {
  standing: string;
  toldAtMs: number | undefined;
  callerAtMs: number;
}

Given(
  /^a daemon with suspects to tell and a peer that (.+)$/,
  function (this: NewsWorld, standing: string) {
    this.standing = standing;
  },
);

When(
  'it tells of a condemned request in virtual time',
  async function (this: NewsWorld) {
    const {standing} = this;
    const isListed = standing.includes('host list only');
    const isSuspect = standing.includes('suspected');
    const member = {
      id: PEER.id,
      controlAddress: PEER,
      state: isSuspect ? MemberState.SUSPECT : MemberState.LIVE,
    } as unknown as Member;
    const members = {listRemembered: () => (isListed ? [] : [member])};
    const entry = {id: PEER.id, host: PEER.host, controlPort: PEER.port};
    const hosts = {listEntryHosts: () => (isListed ? [entry] : [])};
    const [, count = ''] = /misses (\w+) call/.exec(standing) ?? [];
    const peer = new MissingPeer(MISSED_CALLS[count] ?? 0);
    const book = new SuspectRegistry(KEEP_MS);
    const news = new SuspectNews(
      book,
      new ToldDaemons(
        SELF,
        members as unknown as MemberService,
        hosts as unknown as HostFollower,
      ),
      peer,
    );
    const program = Effect.gen({self: this}, function* () {
      yield* Effect.forkChild(news.run());
      const condemned = book.recordCrash('fingerprint', true, 0);
      assert.equal(condemned.state, SuspectState.CONDEMNED);
      yield* Effect.forkChild(
        Effect.andThen(
          news.send(condemned),
          Effect.map(Clock.currentTimeMillis, nowMs => {
            this.callerAtMs = nowMs;
          }),
        ),
      );
      yield* TestClock.adjust('10 seconds');
    });
    await Effect.runPromise(Effect.provide(program, TestClock.layer()));
    this.toldAtMs = peer.toldAtMs;
  },
);

Then(
  /^the peer is told (before the caller|within 2 s after the caller)$/,
  function (this: NewsWorld, when: string) {
    const {toldAtMs, callerAtMs} = this;
    assert.ok(toldAtMs !== undefined, 'never told');
    const afterMs = toldAtMs - callerAtMs;
    if (when === 'before the caller') assert.ok(afterMs <= 0, `${afterMs}`);
    else assert.ok(afterMs > 0 && afterMs <= 2000, `${afterMs}`);
  },
);
