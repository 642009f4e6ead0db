import {Clock, Effect, FiberMap, type Scope} from 'effect';
import type {Member, SeededRandom} from '@greengagecross/common';
import type {
  MemberTable,
  Neighbours,
  NeighbourPolicy,
} from '@greengagecross/decisions';
import type {PeerCaller} from '@greengagecross/peers';
import type {HeartbeatExchange} from './heartbeat_exchange.js';
import type {OwnDelay} from './own_delay.js';
import {PeerWatch} from './peer_watch.js';

const HELPERS = 3;
const MIN_UPDATE_GAP_MS = 200;

type WatchFibers = FiberMap.FiberMap<string, void>;

/** Keeps one fiber for each neighbour as members come and go. */
export class NeighbourWatches {
  private watchedVersion = -1;
  private updatedAtMs = 0;
  private targets: WatchFibers | undefined;
  private sources: WatchFibers | undefined;

  constructor(
    private readonly selfId: string,
    private readonly table: MemberTable,
    private readonly exchange: HeartbeatExchange,
    private readonly peers: PeerCaller,
    private readonly heartbeatMs: number,
    private readonly policy: NeighbourPolicy,
    private readonly random: SeededRandom,
    private readonly ownDelay: OwnDelay,
  ) {}

  /** Starts and ends fibers where the members have changed. */
  update(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      if (this.table.getVersion() === this.watchedVersion) return;
      const nowMs = yield* Clock.currentTimeMillis;
      if (nowMs - this.updatedAtMs < MIN_UPDATE_GAP_MS) return;
      this.updatedAtMs = nowMs;
      this.watchedVersion = this.table.getVersion();
      this.targets ??= yield* FiberMap.make<string, void>();
      this.sources ??= yield* FiberMap.make<string, void>();
      const {targets, sources} = this.chooseNeighbours();
      yield* this.updateFibers(this.targets, targets, true);
      const others = sources.filter(id => !targets.includes(id));
      yield* this.updateFibers(this.sources, others, false);
    });
  }

  /** Lists the members with which heartbeats are exchanged. */
  listNeighbours(): Member[] {
    const {targets, sources} = this.chooseNeighbours();
    return [...new Set([...targets, ...sources])].flatMap(
      id => this.table.find(id) ?? [],
    );
  }

  private chooseNeighbours(): Neighbours {
    const others = this.table.listHeard().map(member => member.id);
    return this.policy.choose(this.selfId, others);
  }

  private updateFibers(
    fibers: WatchFibers,
    ids: readonly string[],
    isTarget: boolean,
  ): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      for (const [id] of fibers) {
        if (!ids.includes(id)) yield* FiberMap.remove(fibers, id);
      }
      for (const id of ids) {
        const watch = this.makeWatch(id, isTarget);
        yield* FiberMap.run(fibers, id, watch.run(), {onlyIfMissing: true});
      }
    });
  }

  private makeWatch(id: string, isTarget: boolean): PeerWatch {
    return new PeerWatch(
      id,
      isTarget,
      this.table,
      this.exchange,
      this.peers,
      this.heartbeatMs,
      () => this.chooseHelpers(id),
      this.ownDelay,
    );
  }

  /** Chooses members that are there, from a random one on. */
  private chooseHelpers(id: string): Member[] {
    const others = this.table.listHeard().filter(member => member.id !== id);
    if (others.length <= HELPERS) return others;
    const start = this.random.nextInt(others.length);
    return [...others, ...others].slice(start, start + HELPERS);
  }
}
