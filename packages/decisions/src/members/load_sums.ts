import {hash32} from '@greengagecross/common';

/** Shortest time between two reports or sums of one daemon. */
const MIN_LOAD_INTERVAL_MS = 200;
/** The same for each daemon of the zone: bounds what its collector receives. */
const LOAD_INTERVAL_MS_PER_DAEMON = 10;
/** Age in intervals from which a report or sum is no longer used. */
const MAX_AGE_INTERVALS = 5;
/**
 * Age of sums or reports in intervals from which heartbeats carry counts again.
 * Longer than the 1.5 s (`fleet_watch.feature`) until the next collector takes
 * over from one that stopped, so that a stopped collector alone adds no bytes.
 */
const MISSING_INTERVALS = 15;
/**
 * Intervals for which a new collector waits for reports before it sends sums:
 * within two, every daemon with the same view has reported once.
 */
const NEW_COLLECTOR_INTERVALS = 3;

/** Requests in flight by id of the backend server. */
export type ServerCounts = Readonly<Record<string, number>>;

interface TimedCounts {
  readonly counts: ServerCounts;
  readonly atMs: number;
}

/** A daemon that may collect the loads of its availability zone. */
export interface CollectorCandidate {
  readonly id: string;
  readonly availabilityZone: string;
}

/**
 * Computes the time between the load reports of a daemon, in milliseconds.
 *
 * @param zoneDaemons daemons of the availability zone, this one included
 */
export function computeLoadIntervalMs(zoneDaemons: number): number {
  return Math.max(
    MIN_LOAD_INTERVAL_MS,
    LOAD_INTERVAL_MS_PER_DAEMON * zoneDaemons,
  );
}

/**
 * Chooses the collector of each availability zone: the first ready daemon in
 * hash order. All daemons with the same view choose alike.
 */
export function chooseCollectors<T extends CollectorCandidate>(
  ready: readonly T[],
): ReadonlyMap<string, T> {
  const collectors = new Map<string, T>();
  for (const daemon of ready) {
    const current = collectors.get(daemon.availabilityZone);
    if (current === undefined || isBefore(daemon.id, current.id)) {
      collectors.set(daemon.availabilityZone, daemon);
    }
  }
  return collectors;
}

/**
 * Adds up the requests in flight of all daemons by backend server, without a
 * message from every daemon to every other: each daemon reports to the
 * collector of its availability zone, collectors send the sums of their zones
 * to one another, and each sends the sums of all zones to its own zone.
 *
 * Answers the load of many daemons that each see a small part of the traffic:
 * with loads that are seconds old, all of them send a subject with many prompts
 * to the same engine. Used by package `router`; `nowMs` is a time on the
 * monotonic clock.
 */
export class LoadSums {
  /** Latest reports of the daemons of this zone, by daemon. */
  private readonly reports = new Map<string, TimedCounts>();
  /** Latest sums of the other zones, by zone. */
  private readonly zones = new Map<string, TimedCounts>();
  private sums: TimedCounts | undefined;
  private lastReport: ServerCounts = {};
  private intervalMs = MIN_LOAD_INTERVAL_MS;
  private heartbeatIntervalMs = 0;
  /** Since when a collector lacks recent reports; undefined without a lack. */
  private incompleteSinceMs: number | undefined;
  private collectingSinceMs: number | undefined;

  /** Sets the interval, by which old reports and sums are recognized. */
  setIntervalMs(intervalMs: number): void {
    this.intervalMs = intervalMs;
  }

  /**
   * Sets the interval of heartbeats to all daemons: without sums, the counts of
   * all peers have arrived in heartbeats after this time.
   */
  setHeartbeatIntervalMs(intervalMs: number): void {
    this.heartbeatIntervalMs = intervalMs;
  }

  /** Records that this daemon is the collector of its zone. */
  startCollecting(nowMs: number): void {
    this.collectingSinceMs ??= nowMs;
  }

  /** Records that this daemon is not, or no longer, a collector. */
  stopCollecting(): void {
    this.collectingSinceMs = undefined;
    this.incompleteSinceMs = undefined;
  }

  /** Returns whether this collector may not have heard from its zone yet. */
  isNewCollector(nowMs: number): boolean {
    const sinceMs = this.collectingSinceMs ?? nowMs;
    return nowMs - sinceMs < NEW_COLLECTOR_INTERVALS * this.intervalMs;
  }

  /** Records whether a collector has recent reports of all daemons and zones. */
  setComplete(isComplete: boolean, nowMs: number): void {
    if (isComplete) this.incompleteSinceMs = undefined;
    else this.incompleteSinceMs ??= nowMs;
  }

  /**
   * Returns whether this daemon has been without sums or, as a collector,
   * without a report for so long that it needs the counts in heartbeats, and
   * its own heartbeats must carry counts.
   */
  isMissing(nowMs: number): boolean {
    if (this.sums === undefined) return true;
    const missingMs = MISSING_INTERVALS * this.intervalMs;
    const incompleteSinceMs = this.incompleteSinceMs ?? nowMs;
    return (
      nowMs - this.sums.atMs > missingMs ||
      nowMs - incompleteSinceMs > missingMs
    );
  }

  /** Describes the inputs of {@link isMissing}, for logs. */
  describe(nowMs: number): Record<string, number> {
    const {sums, incompleteSinceMs = nowMs} = this;
    return {
      loadIntervalMs: this.intervalMs,
      sumsAgeMs: sums === undefined ? -1 : Math.round(nowMs - sums.atMs),
      incompleteForMs: Math.round(nowMs - incompleteSinceMs),
    };
  }

  /** Records the counts that this daemon reports to its collector. */
  setOwnReport(counts: ServerCounts): void {
    this.lastReport = counts;
  }

  /** Records a report of a daemon of this zone. */
  recordReport(daemonId: string, counts: ServerCounts, nowMs: number): void {
    this.reports.set(daemonId, {counts, atMs: nowMs});
  }

  /** Records the sums of another zone. */
  recordZone(zone: string, counts: ServerCounts, nowMs: number): void {
    this.zones.set(zone, {counts, atMs: nowMs});
  }

  /** Records the sums of all zones, this daemon's report included. */
  recordSums(counts: ServerCounts, nowMs: number): void {
    this.sums = {counts, atMs: nowMs};
  }

  /** Adds up the recent reports of this zone. */
  addReports(nowMs: number): ServerCounts {
    return this.addRecent(this.reports, nowMs);
  }

  /** Adds up the recent sums of the other zones. */
  addZones(nowMs: number): ServerCounts {
    return this.addRecent(this.zones, nowMs);
  }

  /**
   * Finds the counts of a daemon without a recent report, or of a zone without
   * recent sums: those of the heartbeats if all of them carry counts, otherwise
   * the last report or sums.
   *
   * @param heartbeats counts of the last heartbeats; undefined for each that
   *     carries none
   */
  findLastCounts(
    daemonIdOrZone: string,
    heartbeats: ReadonlyArray<ServerCounts | undefined>,
  ): ServerCounts {
    const carried = heartbeats.filter(counts => counts !== undefined);
    const last =
      this.reports.get(daemonIdOrZone) ?? this.zones.get(daemonIdOrZone);
    const isUsed = last !== undefined && carried.length < heartbeats.length;
    return isUsed ? last.counts : addCounts(carried);
  }

  /** Removes the reports and sums of daemons and zones that are not running. */
  keepRunning(daemonIdsAndZones: ReadonlySet<string>): void {
    for (const entries of [this.reports, this.zones]) {
      for (const id of entries.keys()) {
        if (!daemonIdsAndZones.has(id)) entries.delete(id);
      }
    }
  }

  /** Returns whether a report of a daemon, or sums of a zone, are recent. */
  isRecent(daemonIdOrZone: string, nowMs: number): boolean {
    const entry =
      this.reports.get(daemonIdOrZone) ?? this.zones.get(daemonIdOrZone);
    return entry !== undefined && this.isFresh(entry, nowMs);
  }

  /**
   * Counts the requests in flight of the other daemons at a server; undefined
   * if heartbeats are the better source. Older sums are used until peers have
   * learned that this daemon needs counts and have sent them in heartbeats.
   */
  countOthers(serverId: string, nowMs: number): number | undefined {
    if (this.sums === undefined) return undefined;
    const maxAgeMs =
      MISSING_INTERVALS * this.intervalMs + this.heartbeatIntervalMs;
    if (nowMs - this.sums.atMs > maxAgeMs) return undefined;
    const all = this.sums.counts[serverId] ?? 0;
    return Math.max(0, all - (this.lastReport[serverId] ?? 0));
  }

  private addRecent(
    entries: Map<string, TimedCounts>,
    nowMs: number,
  ): ServerCounts {
    const all: ServerCounts[] = [];
    for (const entry of entries.values()) {
      if (this.isFresh(entry, nowMs)) all.push(entry.counts);
    }
    return addCounts(all);
  }

  private isFresh({atMs}: TimedCounts, nowMs: number): boolean {
    return nowMs - atMs <= MAX_AGE_INTERVALS * this.intervalMs;
  }
}

/** Adds up counts by backend server. */
export function addCounts(all: readonly ServerCounts[]): ServerCounts {
  const sums: Record<string, number> = {};
  for (const counts of all) {
    for (const [id, count] of Object.entries(counts)) {
      sums[id] = (sums[id] ?? 0) + count;
    }
  }
  return sums;
}

function isBefore(id: string, other: string): boolean {
  const difference = hash32(id) - hash32(other);
  return difference === 0 ? id < other : difference < 0;
}
