import {
  computeLiveAgeMs,
  computeReadyAgeMs,
  type FleetWatch,
  type LoadSums,
  type WatchedDaemon,
} from '@greengagecross/decisions';
import {DaemonState, type Heartbeat} from './heartbeat.js';

/** Maximum age of the cached totals of requests in flight, in milliseconds. */
const TOTALS_MAX_AGE_MS = 50;
/** A peer that sent nothing for this long gets no more heartbeats. */
const PEER_RETENTION_MS = 20_000;

interface Peer {
  heartbeat: Heartbeat;
  /** When the last heartbeat arrived, on the monotonic clock. */
  lastSeenAtMs: number;
}

/**
 * The other daemons, as of their last heartbeats. Each `nowMs` is a time on the
 * monotonic clock.
 */
export class MemberView {
  private readonly peers = new Map<string, Peer>();
  /** Requests in flight of all running peers, by id of the backend server. */
  private totals = new Map<string, number>();
  private totalsAtMs = Number.NEGATIVE_INFINITY;

  constructor(
    private readonly selfId: string,
    private readonly watch: FleetWatch,
    private readonly sums: LoadSums,
  ) {}

  /**
   * Records a heartbeat.
   *
   * @return false for a heartbeat of this daemon, or one that is not newer than
   *     the last of its sender
   */
  recordHeartbeat(heartbeat: Heartbeat, nowMs: number): boolean {
    if (heartbeat.id === this.selfId) return false;
    const current = this.peers.get(heartbeat.id);
    if (current !== undefined && !isNewer(heartbeat, current.heartbeat)) {
      return false;
    }
    this.peers.set(heartbeat.id, {heartbeat, lastSeenAtMs: nowMs});
    this.watch.recordReports(heartbeat.id, heartbeat.silent ?? {}, nowMs);
    return true;
  }

  /** Returns whether a heartbeat of the daemon is on record. */
  hasPeer(id: string): boolean {
    return this.peers.has(id);
  }

  /** Returns the last advertised state of a daemon; undefined when unknown. */
  getState(id: string): DaemonState | undefined {
    return this.peers.get(id)?.heartbeat.state;
  }

  /**
   * Lists peers that accept new clients; excludes this daemon and peers that
   * their watchers suspect to have stopped.
   */
  listReady(nowMs: number): Heartbeat[] {
    return this.listPeersSeenWithin(computeReadyAgeMs, nowMs)
      .filter(
        peer =>
          peer.heartbeat.state === DaemonState.READY &&
          !this.watch.isSuspected(toWatchedDaemon(peer)),
      )
      .map(peer => peer.heartbeat);
  }

  /** Lists the running peers that are watched; leaving ones stop on purpose. */
  listWatched(nowMs: number): WatchedDaemon[] {
    return this.listPeersSeenWithin(computeLiveAgeMs, nowMs)
      .filter(({heartbeat}) => heartbeat.state !== DaemonState.LEAVING)
      .map(toWatchedDaemon);
  }

  /** Lists the ids of the running peers that count as stopped. */
  listSuspected(nowMs: number): string[] {
    return this.listWatched(nowMs)
      .filter(daemon => this.watch.isSuspected(daemon))
      .map(({id}) => id);
  }

  /** Lists the configuration versions of running peers that are not suspected. */
  listVersions(nowMs: number): number[] {
    return this.listPeersSeenWithin(computeLiveAgeMs, nowMs)
      .filter(peer => !this.watch.isSuspected(toWatchedDaemon(peer)))
      .map(({heartbeat}) => heartbeat.configurationVersion);
  }

  /** Finds the last heartbeats of some daemons; unknown ones are omitted. */
  findHeartbeats(ids: readonly string[]): Heartbeat[] {
    return ids.flatMap(id => this.peers.get(id)?.heartbeat ?? []);
  }

  /**
   * Lists peers that count as running: those with a recent heartbeat, whatever
   * their state; excludes this daemon.
   */
  listRunning(nowMs: number): Heartbeat[] {
    return this.listPeersSeenWithin(computeLiveAgeMs, nowMs).map(
      peer => peer.heartbeat,
    );
  }

  /** Removes silent peers and lists the others, to send heartbeats to them. */
  listHeartbeatTargets(nowMs: number): Heartbeat[] {
    for (const [id, peer] of this.peers) {
      if (nowMs - peer.lastSeenAtMs > PEER_RETENTION_MS) this.peers.delete(id);
    }
    return [...this.peers.values()].map(peer => peer.heartbeat);
  }

  /**
   * Returns the running peers' requests in flight at a server, added up: by the
   * sums of the collectors or, without recent ones, by heartbeats.
   */
  countInFlight(serverId: string, nowMs: number): number {
    const others = this.sums.countOthers(serverId, nowMs);
    if (others !== undefined) return others;
    if (nowMs - this.totalsAtMs > TOTALS_MAX_AGE_MS) this.updateTotals(nowMs);
    return this.totals.get(serverId) ?? 0;
  }

  private updateTotals(nowMs: number): void {
    this.totalsAtMs = nowMs;
    this.totals = new Map();
    for (const {inFlight} of this.listRunning(nowMs)) {
      for (const [serverId, count] of Object.entries(inFlight)) {
        this.totals.set(serverId, (this.totals.get(serverId) ?? 0) + count);
      }
    }
  }

  private listPeersSeenWithin(
    computeAgeMs: (intervalMs: number) => number,
    nowMs: number,
  ): Peer[] {
    return [...this.peers.values()].filter(({heartbeat, lastSeenAtMs}) => {
      return nowMs - lastSeenAtMs <= computeAgeMs(heartbeat.intervalMs);
    });
  }
}

function toWatchedDaemon({heartbeat, lastSeenAtMs}: Peer): WatchedDaemon {
  const {id, incarnation, watchers = []} = heartbeat;
  return {id, incarnation, lastSeenAtMs, watchers};
}

/**
 * Returns whether a heartbeat was sent after the current one. The clock that
 * gives the incarnation may be set back before a restart, so that a lower
 * sequence number with a lower incarnation also indicates a restart.
 */
function isNewer(heartbeat: Heartbeat, current: Heartbeat): boolean {
  if (heartbeat.incarnation === current.incarnation) {
    return heartbeat.sequence > current.sequence;
  }
  return (
    heartbeat.incarnation > current.incarnation ||
    heartbeat.sequence < current.sequence
  );
}
