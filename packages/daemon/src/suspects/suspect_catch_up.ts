import {Clock, Deferred, Effect} from 'effect';
import type {Address, SeededRandom} from '@greengagecross/common';
import {
  PeerMethod,
  SuspectReportsSchema,
  type PeerCaller,
} from '@greengagecross/peers';
import type {SuspectNews} from './suspect_news.js';

const TICK_MS = 200;
/** A daemon that was paused for so long may have missed news. */
const STALE_MS = 800;
const FETCH_MS = 60_000;
const FETCH_AGAIN_MS = 1000;
const FETCH_TRIES = 3;

/** Fetches from a peer what this daemon missed while it was not there. */
export class SuspectCatchUp {
  private fetching: Deferred.Deferred<void> | undefined;
  private hasTried = false;
  private tickedAtMs = -Infinity;
  private dueAtMs = -Infinity;

  /** @param listPeers control addresses of other daemons. */
  constructor(
    private readonly news: SuspectNews,
    private readonly peers: PeerCaller,
    private readonly listPeers: (nowMs: number) => Address[],
    private readonly random: SeededRandom,
  ) {}

  /** Asks a peer first when this daemon just started or was paused. */
  waitFresh(): Effect.Effect<void> {
    return Effect.flatMap(Clock.currentTimeMillis, nowMs =>
      this.isStale(nowMs) ? this.fetch() : Effect.void,
    );
  }

  /** Fetches now and then, for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        if (nowMs >= this.dueAtMs || this.isStale(nowMs)) yield* this.fetch();
        this.tickedAtMs = yield* Clock.currentTimeMillis;
        yield* Effect.sleep(TICK_MS);
      }
    });
  }

  private isStale(nowMs: number): boolean {
    if (this.hasTried) return nowMs - this.tickedAtMs > STALE_MS;
    return this.listPeers(nowMs).length > 0;
  }

  /** One fetch serves all that wait for it. */
  private fetch(): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.fetching !== undefined) return Deferred.await(this.fetching);
      const fetched = Deferred.makeUnsafe<void>();
      this.fetching = fetched;
      const end = Effect.suspend(() => {
        this.fetching = undefined;
        return Deferred.succeed(fetched, undefined);
      });
      Effect.runFork(Effect.ensuring(this.fetchFromAny(), end));
      return Deferred.await(fetched);
    });
  }

  /** Callers are served all the same when no peer answers. */
  private fetchFromAny(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const left = this.listPeers(yield* Clock.currentTimeMillis);
      this.hasTried = this.hasTried || left.length > 0;
      let isFetched = false;
      for (let tries = 0; tries < FETCH_TRIES && !isFetched; tries += 1) {
        if (left.length === 0) break;
        const [peer] = left.splice(this.random.nextInt(left.length), 1);
        if (peer !== undefined) isFetched = yield* this.fetchFrom(peer);
      }
      this.tickedAtMs = yield* Clock.currentTimeMillis;
      this.dueAtMs = this.tickedAtMs + (isFetched ? FETCH_MS : FETCH_AGAIN_MS);
    });
  }

  private fetchFrom(address: Address): Effect.Effect<boolean> {
    return this.peers
      .send(address, PeerMethod.FETCH_SUSPECTS, {}, SuspectReportsSchema)
      .pipe(
        Effect.flatMap(({suspects}) => this.news.answerSend(suspects)),
        Effect.as(true),
        Effect.catch(() => Effect.succeed(false)),
      );
  }
}
