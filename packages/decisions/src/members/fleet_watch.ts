import {RingNeighbours} from './ring_neighbours.js';

/** Interval of the heartbeats that a daemon sends to its watchers. */
export const WATCH_HEARTBEAT_MS = 400;
/** Number of daemons that watch each daemon. */
const WATCHERS = 4;
/** Silence of a watched daemon that is reported: two heartbeats are lost. */
const SILENCE_MS = 1000;
/**
 * Reports of different daemons that make a daemon suspected. More than one, so
 * that a single broken connection does not.
 */
const MIN_REPORTS = 2;
/**
 * A watcher that received no heartbeat for this long does not report: its own
 * connection may be broken.
 */
const MAX_OWN_SILENCE_MS = 500;
/**
 * Longest time between two updates. After a longer one this process was paused
 * or short of processor time, and the silence before it means nothing.
 */
const MAX_UPDATE_GAP_MS = 500;
/** Time for which former watchers still get heartbeats: they learn of the change. */
const HANDOVER_MS = 1000;

/** Another daemon, as of its last heartbeat. */
export interface WatchedDaemon {
  readonly id: string;
  /** Start time of the process; a restart has another one. */
  readonly incarnation: number;
  /** When the last heartbeat arrived, on the monotonic clock. */
  readonly lastSeenAtMs: number;
  /** Ids of its watchers. */
  readonly watchers: readonly string[];
}

interface Report {
  readonly incarnation: number;
  readonly atMs: number;
}

/**
 * Finds daemons that stopped in a fleet in which heartbeats to all others are
 * too rare for that: each daemon sends frequent heartbeats to a few watchers,
 * and the watchers report its silence in their heartbeats to all.
 *
 * Two reports make a daemon suspected, or one if its other watchers are reported
 * too, until a heartbeat of it arrives. A
 * suspected daemon is only left out of the directory; nothing that it runs is
 * given up. Used by package `router`; `nowMs` is a time on the monotonic clock.
 */
export class FleetWatch {
  private readonly ring = new RingNeighbours(WATCHERS);
  private watchers: readonly string[] = [];
  private formerWatchers: readonly string[] = [];
  private handoverEndMs = 0;
  private fleetKey = '';
  private silent: Readonly<Record<string, number>> = {};
  /** The other running daemons at the last update, by id. */
  private fleet = new Map<string, WatchedDaemon>();
  /** By id of the suspected daemon, the reports by id of their sender. */
  private readonly reports = new Map<string, Map<string, Report>>();
  private countFromMs = Number.NEGATIVE_INFINITY;
  private lastUpdateMs = Number.NEGATIVE_INFINITY;
  /** Whether another daemon has reported this one since the last update. */
  private isReported = false;

  /** @param incarnation start time of this process, as in its heartbeats */
  constructor(
    private readonly selfId: string,
    private readonly incarnation: number,
  ) {}

  /**
   * Updates the watchers of this daemon and the silence that it reports.
   *
   * @param fleet the other running daemons
   * @param fleetIntervalMs interval of the heartbeats to all daemons
   * @return whether all others must get a heartbeat now: with a new report, or
   *     because they may suspect this daemon
   */
  update(
    fleet: readonly WatchedDaemon[],
    fleetIntervalMs: number,
    nowMs: number,
  ): boolean {
    const wasPaused = nowMs - this.lastUpdateMs > MAX_UPDATE_GAP_MS;
    const isUrgent = wasPaused || this.isReported;
    if (wasPaused) this.countFromMs = nowMs;
    this.isReported = false;
    this.lastUpdateMs = nowMs;
    this.fleet = new Map(fleet.map(daemon => [daemon.id, daemon]));
    this.updateWatchers(fleet, fleetIntervalMs, nowMs);
    const before = this.silent;
    this.silent = this.findSilent(fleet, nowMs);
    this.recordReports(this.selfId, this.silent, nowMs);
    const hasNews = Object.keys(this.silent).some(
      id => before[id] === undefined,
    );
    return isUrgent || hasNews;
  }

  /** Returns the ids of the daemons that watch this one; none in a small fleet. */
  getWatchers(): readonly string[] {
    return this.watchers;
  }

  /** Lists the ids of the daemons that get frequent heartbeats now. */
  listRecipients(nowMs: number): readonly string[] {
    if (nowMs > this.handoverEndMs) return this.watchers;
    return [...new Set([...this.watchers, ...this.formerWatchers])];
  }

  /** Returns the silent daemons to report: their incarnations by id. */
  getSilent(): Readonly<Record<string, number>> {
    return this.silent;
  }

  /** Replaces the reports of one daemon. */
  recordReports(
    reporterId: string,
    silent: Readonly<Record<string, number>>,
    nowMs: number,
  ): void {
    if (silent[this.selfId] === this.incarnation) this.isReported = true;
    for (const [id, reports] of this.reports) {
      if (silent[id] === undefined) reports.delete(reporterId);
      if (reports.size === 0) this.reports.delete(id);
    }
    for (const [id, incarnation] of Object.entries(silent)) {
      const reports = this.reports.get(id) ?? new Map<string, Report>();
      this.reports.set(id, reports);
      reports.set(reporterId, {incarnation, atMs: nowMs});
    }
  }

  /** Returns whether reports say that a daemon stopped after it was last seen. */
  isSuspected(daemon: WatchedDaemon): boolean {
    const reports = this.countReports(daemon);
    if (reports === 0 || reports >= MIN_REPORTS) return reports > 0;
    // Watchers that stopped as well, such as in the same zone, do not report.
    const others = daemon.watchers.filter(id => {
      const watcher = this.fleet.get(id);
      return watcher !== undefined && this.countReports(watcher) === 0;
    });
    return others.length < MIN_REPORTS;
  }

  /** Counts the reports that say that a daemon stopped after it was last seen. */
  private countReports({id, incarnation, lastSeenAtMs}: WatchedDaemon): number {
    const reports = this.reports.get(id);
    if (reports === undefined) return 0;
    return [...reports.values()].filter(
      report =>
        report.incarnation === incarnation && report.atMs > lastSeenAtMs,
    ).length;
  }

  private updateWatchers(
    fleet: readonly WatchedDaemon[],
    fleetIntervalMs: number,
    nowMs: number,
  ): void {
    const isNeeded = fleetIntervalMs > WATCH_HEARTBEAT_MS;
    const ids = isNeeded
      ? fleet.filter(daemon => !this.isSuspected(daemon)).map(({id}) => id)
      : [];
    const key = ids.sort().join();
    if (key === this.fleetKey) return;
    this.fleetKey = key;
    this.formerWatchers = this.watchers;
    this.handoverEndMs = nowMs + HANDOVER_MS;
    this.watchers =
      ids.length === 0 ? [] : this.ring.choose(this.selfId, ids).targets;
  }

  private findSilent(
    fleet: readonly WatchedDaemon[],
    nowMs: number,
  ): Record<string, number> {
    const isHearing = fleet.some(
      ({lastSeenAtMs}) => nowMs - lastSeenAtMs < MAX_OWN_SILENCE_MS,
    );
    if (!isHearing) return {};
    const silent = fleet.filter(
      ({watchers, lastSeenAtMs}) =>
        watchers.includes(this.selfId) &&
        nowMs - Math.max(lastSeenAtMs, this.countFromMs) > SILENCE_MS,
    );
    return Object.fromEntries(
      silent.map(({id, incarnation}) => [id, incarnation]),
    );
  }
}
