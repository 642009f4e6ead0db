import {Clock, Deferred, Effect} from 'effect';
import type {Address, SeededRandom} from '@greengagecross/common';
import {
  PeerMethod,
  SuspectReportsSchema,
  type PeerRpc,
} from '@greengagecross/peers';
import type {SuspectBroadcaster} from './suspect_broadcaster.js';
import type {TextReports} from './text_reports.js';

const TICK_MS = 200;
/** A daemon that was paused for longer may have missed updates. */
const MAX_TICK_GAP_MS = 800;
const FETCH_INTERVAL_MS = 60_000;
const FETCH_RETRY_MS = 1000;
/** Maximum peers asked in turn in one fetch. */
const MAX_PEERS_ASKED = 3;

/** Fetches from a peer the updates that this daemon may have missed. */
export class SuspectCatchUp {
  private fetching: Deferred.Deferred<void> | undefined;
  private hasAskedPeers = false;
  private lastTickMs = -Infinity;
  private fetchAtMs = -Infinity;

  /** @param listPeers control addresses of other daemons. */
  constructor(
    private readonly broadcaster: SuspectBroadcaster,
    private readonly peers: PeerRpc,
    private readonly listPeers: (nowMs: number) => Address[],
    private readonly random: SeededRandom,
    private readonly texts: TextReports,
  ) {}

  /** If this daemon just started or was paused, waits for a fetch. */
  waitUntilCurrent(): Effect.Effect<void> {
    return Effect.flatMap(Clock.currentTimeMillis, nowMs =>
      this.isStale(nowMs) ? this.fetch() : Effect.void,
    );
  }

  /** Fetches at each interval and after each pause; never ends. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        if (nowMs >= this.fetchAtMs || this.isStale(nowMs)) yield* this.fetch();
        this.lastTickMs = yield* Clock.currentTimeMillis;
        yield* Effect.sleep(TICK_MS);
      }
    });
  }

  private isStale(nowMs: number): boolean {
    if (this.hasAskedPeers) return nowMs - this.lastTickMs > MAX_TICK_GAP_MS;
    return this.listPeers(nowMs).length > 0;
  }

  /** Concurrent calls share one fetch. */
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

  /** Ends without an error when no peer answers: requests are served anyway. */
  private fetchFromAny(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const remainingPeers = this.listPeers(yield* Clock.currentTimeMillis);
      this.hasAskedPeers = this.hasAskedPeers || remainingPeers.length > 0;
      let isFetched = false;
      for (let tries = 0; tries < MAX_PEERS_ASKED && !isFetched; tries += 1) {
        if (remainingPeers.length === 0) break;
        const [peer] = remainingPeers.splice(
          this.random.nextInt(remainingPeers.length),
          1,
        );
        if (peer !== undefined) isFetched = yield* this.fetchFrom(peer);
      }
      this.lastTickMs = yield* Clock.currentTimeMillis;
      this.fetchAtMs =
        this.lastTickMs + (isFetched ? FETCH_INTERVAL_MS : FETCH_RETRY_MS);
    });
  }

  private fetchFrom(address: Address): Effect.Effect<boolean> {
    return this.peers
      .send(address, PeerMethod.FETCH_SUSPECTS, {}, SuspectReportsSchema)
      .pipe(
        Effect.flatMap(({suspects, texts}) => {
          this.texts.merge(texts);
          return this.broadcaster.mergeReports(suspects);
        }),
        Effect.as(true),
        Effect.catch(() => Effect.succeed(false)),
      );
  }
}
