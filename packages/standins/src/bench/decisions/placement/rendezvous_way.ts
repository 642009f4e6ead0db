import {hash32, type SeededRandom} from '@greengagecross/common';
import {
  computeScore,
  type EngineGroup,
  type HashedId,
} from '@greengagecross/decisions';
import type {BenchFleet} from './bench_fleet.js';
import {
  PlacementWay,
  type PlacedRequest,
  type PlacementRun,
} from './placement_way.js';

/** Plain rendezvous hashing on the engines that a daemon sees; no bound. */
export class RendezvousWay extends PlacementWay {
  constructor(
    private readonly fleet: BenchFleet,
    private readonly run: PlacementRun,
    private readonly random: SeededRandom,
  ) {
    super();
  }

  override dispatch(request: PlacedRequest): void {
    const daemon = this.random.nextInt(this.fleet.daemons.length);
    const group = this.fleet.getGroup(daemon, this.run.getNowMs());
    for (const engine of listHomes(group, request.chat)) {
      if (!this.isAllowed(daemon, engine, group)) continue;
      if (!this.run.start(request, engine)) continue;
      this.recordStart(request, daemon, engine);
      return;
    }
    this.run.refuse(request);
  }

  override finish(unusedRequest: PlacedRequest, unusedEngine: string): void {}

  override sendHeartbeats(): void {}

  /** Returns whether a daemon may place one more request on an engine. */
  protected isAllowed(
    unusedDaemon: number,
    unusedEngine: string,
    unusedGroup: EngineGroup,
  ): boolean {
    return true;
  }

  /** Notes that a daemon has placed a request. */
  protected recordStart(
    unusedRequest: PlacedRequest,
    unusedDaemon: number,
    unusedEngine: string,
  ): void {}
}

/** Lists a chat's engines in rendezvous order, each found when asked for. */
function* listHomes(group: EngineGroup, chat: number): Generator<string> {
  const key = hash32(String(chat));
  const left: HashedId[] = [...group.hashedIds];
  while (left.length > 0) {
    let best = 0;
    let bestScore = -1;
    for (const [index, {hash}] of left.entries()) {
      const score = computeScore(key, hash);
      if (score <= bestScore) continue;
      best = index;
      bestScore = score;
    }
    const [home] = left.splice(best, 1);
    if (home !== undefined) yield home.id;
  }
}
