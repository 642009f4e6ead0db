import {Clock, Effect, FiberMap, type Scope} from 'effect';
import type {Member, SeededRandom} from '@greengagecross/common';
import {
  type MemberTable,
  type Neighbours,
  type NeighbourPolicy,
  type ReplyTimeout,
} from '@greengagecross/decisions';
import type {PeerRpc} from '@greengagecross/peers';
import type {HeartbeatExchange} from './heartbeat_exchange.js';
import type {ProcessDelayMonitor} from './process_delay_monitor.js';
import {PeerWatch} from './peer_watch.js';

/** Daemons asked to probe a neighbour that does not reply. */
const PROBE_HELPERS = 3;
const FEWER_PROBE_HELPERS = 2;
/**
 * Fewer helpers are asked if at least this many members other than the
 * neighbour are reachable.
 */
const MIN_MEMBERS_FOR_FEWER_HELPERS = 5;
/** Shortest time between choices of neighbours after a change of the table. */
const MIN_CHOICE_GAP_MS = 200;
/**
 * Longest time between choices of neighbours. A choice is needed also without a
 * change of the table, since a suspicion may take effect some time after it was
 * recorded.
 */
const MAX_CHOICE_GAP_MS = 1000;

type WatchFibers = FiberMap.FiberMap<string, void>;

/**
 * Runs one fiber for each neighbour: for targets, which this daemon sends
 * heartbeats to, and for sources, which send heartbeats to this daemon.
 */
export class NeighbourWatches {
  /** Version of the member table at the last choice of neighbours. */
  private watchedVersion = -1;
  /** In ms since the epoch; 0 before the first choice of neighbours. */
  private updatedAtMs = 0;
  private targets: WatchFibers | undefined;
  private sources: WatchFibers | undefined;

  constructor(
    private readonly selfId: string,
    private readonly table: MemberTable,
    private readonly exchange: HeartbeatExchange,
    private readonly peers: PeerRpc,
    private readonly heartbeatMs: number,
    private readonly policy: NeighbourPolicy,
    private readonly random: SeededRandom,
    private readonly delayMonitor: ProcessDelayMonitor,
    private readonly timeout: ReplyTimeout,
  ) {}

  /**
   * Chooses the neighbours, and starts and ends fibers accordingly; does
   * nothing if the last choice is recent.
   */
  update(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      const nowMs = yield* Clock.currentTimeMillis;
      const ageMs = nowMs - this.updatedAtMs;
      const isChanged = this.table.getVersion() !== this.watchedVersion;
      if (ageMs < (isChanged ? MIN_CHOICE_GAP_MS : MAX_CHOICE_GAP_MS)) return;
      this.updatedAtMs = nowMs;
      this.watchedVersion = this.table.getVersion();
      this.targets ??= yield* FiberMap.make<string, void>();
      this.sources ??= yield* FiberMap.make<string, void>();
      const {targets, sources} = this.chooseNeighbours(nowMs);
      yield* this.updateFibers(this.targets, targets, true);
      const others = sources.filter(id => !targets.includes(id));
      yield* this.updateFibers(this.sources, others, false);
    });
  }

  /**
   * Lists the members that heartbeats are exchanged with.
   *
   * @param nowMs in ms since the epoch
   */
  listNeighbours(nowMs: number): Member[] {
    const {targets, sources} = this.chooseNeighbours(nowMs);
    return [...new Set([...targets, ...sources])].flatMap(
      id => this.table.find(id) ?? [],
    );
  }

  private chooseNeighbours(nowMs: number): Neighbours {
    const others = this.table
      .listNeighbourCandidates(nowMs)
      .map(member => member.id);
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
      this.delayMonitor,
      this.timeout,
    );
  }

  /**
   * Chooses reachable members other than the neighbour that are next to each
   * other in the order of the member table, starting with a random one.
   */
  private chooseHelpers(id: string): Member[] {
    const others = this.table
      .listReachable()
      .filter(member => member.id !== id);
    const count =
      others.length < MIN_MEMBERS_FOR_FEWER_HELPERS
        ? PROBE_HELPERS
        : FEWER_PROBE_HELPERS;
    if (others.length <= count) return others;
    const start = this.random.nextInt(others.length);
    return [...others, ...others].slice(start, start + count);
  }
}
