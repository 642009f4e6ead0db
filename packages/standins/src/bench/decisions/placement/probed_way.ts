import type {SeededRandom} from '@greengagecross/common';
import {computeLoadBound, type EngineGroup} from '@greengagecross/decisions';
import type {BenchFleet} from './bench_fleet.js';
import {
  PlacementWay,
  type PlacedRequest,
  type PlacementRun,
} from './placement_way.js';

const PROBES = 2;
const REPORT_EVERY_HEARTBEATS = 2;

/** The ticket's engine, else the least loaded of a few by engines' reports. */
export class ProbedWay extends PlacementWay {
  private reports = new Map<string, number>();
  private total = 0;
  private heartbeats = 0;

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
    for (const engine of this.listTries(request, group)) {
      if (this.run.start(request, engine)) return;
    }
    this.run.refuse(request);
  }

  override finish(unusedRequest: PlacedRequest, unusedEngine: string): void {}

  override sendHeartbeats(): void {
    this.heartbeats += 1;
    if (this.heartbeats % REPORT_EVERY_HEARTBEATS !== 0) return;
    const {engines} = this.fleet;
    this.reports = new Map(engines.map(e => [e.id, e.inFlight]));
    this.total = engines.reduce((sum, engine) => sum + engine.inFlight, 0);
  }

  private listTries(request: PlacedRequest, group: EngineGroup): string[] {
    const bound = computeLoadBound(this.total, group.ids.length, group.rules);
    const probed = Array.from(
      {length: PROBES},
      () => this.random.choose(group.ids) ?? '',
    ).sort((a, b) => this.getReport(a) - this.getReport(b));
    const ticketEngine = request.ticket?.engine;
    if (ticketEngine === undefined) return probed;
    const isUsable =
      group.has(ticketEngine) && this.getReport(ticketEngine) < bound;
    return isUsable ? [ticketEngine, ...probed] : probed;
  }

  private getReport(engine: string): number {
    return this.reports.get(engine) ?? 0;
  }
}
