import {computeLoadBound, type EngineGroup} from '@greengagecross/decisions';
import type {PlacedRequest} from './placement_way.js';
import {RendezvousWay} from './rendezvous_way.js';

/** Rendezvous with bounded loads on each daemon's own counts alone. */
export class OwnCountsWay extends RendezvousWay {
  private readonly counts = new Map<string, number>();
  private readonly totals = new Map<number, number>();
  private readonly placedBy = new Map<number, number>();

  override finish(request: PlacedRequest, engine: string): void {
    const daemon = this.placedBy.get(request.id) ?? 0;
    this.placedBy.delete(request.id);
    this.add(daemon, engine, -1);
  }

  protected override isAllowed(
    daemon: number,
    engine: string,
    group: EngineGroup,
  ): boolean {
    const total = this.totals.get(daemon) ?? 0;
    const bound = computeLoadBound(total, group.ids.length, group.rules);
    return (this.counts.get(makeKey(daemon, engine)) ?? 0) < bound;
  }

  protected override recordStart(
    request: PlacedRequest,
    daemon: number,
    engine: string,
  ): void {
    this.placedBy.set(request.id, daemon);
    this.add(daemon, engine, 1);
  }

  private add(daemon: number, engine: string, change: number): void {
    const key = makeKey(daemon, engine);
    this.counts.set(key, (this.counts.get(key) ?? 0) + change);
    this.totals.set(daemon, (this.totals.get(daemon) ?? 0) + change);
  }
}

function makeKey(daemon: number, engine: string): string {
  return `${daemon} ${engine}`;
}
