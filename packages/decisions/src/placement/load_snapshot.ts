import type {EngineInFlight} from '@greengagecross/common';
import type {EngineGroup} from './engine_group.js';

/**
 * An owner's report: the requests that one daemon counts on the engines that it
 * owns. (The load reports in limits/ are measured by the engines themselves.)
 */
export interface OwnerReport {
  readonly daemon: string;
  readonly engines: readonly EngineInFlight[];
}

/**
 * The latest owners' reports of all daemons, added up for each engine.
 *
 * While their lists of live daemons differ, two daemons may report the same
 * engine. The sum then counts the slots that both have granted.
 */
export class LoadSnapshot {
  private readonly totals = new Map<string, number>();
  private readonly byDaemon = new Map<string, Map<string, number>>();
  /** Cached totals over all reports. */
  private readonly groupTotals = new WeakMap<EngineGroup, number>();

  /** @param isComplete whether the reports include every daemon's load. */
  constructor(
    reports: Iterable<OwnerReport>,
    readonly isComplete = true,
  ) {
    for (const report of reports) this.add(report);
  }

  /** Counts an engine's requests over the reports of all daemons but one. */
  countExcluding(engine: string, daemon: string): number {
    return this.count(engine) - (this.byDaemon.get(daemon)?.get(engine) ?? 0);
  }

  /** Counts an engine's requests over all reports. */
  count(engine: string): number {
    return this.totals.get(engine) ?? 0;
  }

  /** Counts a group's requests over the reports of all daemons but one. */
  countGroupExcluding(group: EngineGroup, daemon: string): number {
    let total = this.groupTotals.get(group);
    if (total === undefined) {
      total = group.ids.reduce((sum, engine) => sum + this.count(engine), 0);
      this.groupTotals.set(group, total);
    }
    for (const [engine, inFlight] of this.byDaemon.get(daemon) ?? []) {
      if (group.has(engine)) total -= inFlight;
    }
    return total;
  }

  private add({daemon, engines}: OwnerReport): void {
    const counts = new Map<string, number>();
    for (const {engine, inFlight} of engines) {
      counts.set(engine, inFlight);
      this.totals.set(engine, this.count(engine) + inFlight);
    }
    this.byDaemon.set(daemon, counts);
  }
}
