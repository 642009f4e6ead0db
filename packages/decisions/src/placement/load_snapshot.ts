import type {EngineCount} from '@greengagecross/common';
import type {EngineGroup} from './engine_group.js';

/** What one daemon said of the engines whose requests it counts. */
export interface LoadReport {
  readonly daemon: string;
  readonly engines: readonly EngineCount[];
}

/**
 * The daemons' last reports, added up for each engine.
 *
 * Two daemons report the same engine while their lists of live daemons differ;
 * the sum is then what both have granted.
 */
export class LoadSnapshot {
  private readonly totals = new Map<string, number>();
  private readonly byDaemon = new Map<string, Map<string, number>>();
  private readonly sums = new WeakMap<EngineGroup, number>();

  /** @param isWhole whether every daemon's loads are among the reports. */
  constructor(
    reports: Iterable<LoadReport>,
    readonly isWhole = true,
  ) {
    for (const report of reports) this.add(report);
  }

  /** Counts an engine's requests over all reports but one daemon's. */
  countElsewhere(engine: string, self: string): number {
    return this.count(engine) - (this.byDaemon.get(self)?.get(engine) ?? 0);
  }

  /** Counts an engine's requests over all reports. */
  count(engine: string): number {
    return this.totals.get(engine) ?? 0;
  }

  /** Counts the requests of a group's engines, over all but one daemon. */
  countGroupElsewhere(group: EngineGroup, self: string): number {
    let total = this.sums.get(group);
    if (total === undefined) {
      total = group.ids.reduce((sum, engine) => sum + this.count(engine), 0);
      this.sums.set(group, total);
    }
    for (const [engine, inFlight] of this.byDaemon.get(self) ?? []) {
      if (group.has(engine)) total -= inFlight;
    }
    return total;
  }

  private add({daemon, engines}: LoadReport): void {
    const counts = new Map<string, number>();
    for (const {engine, inFlight} of engines) {
      counts.set(engine, inFlight);
      this.totals.set(engine, this.count(engine) + inFlight);
    }
    this.byDaemon.set(daemon, counts);
  }
}
