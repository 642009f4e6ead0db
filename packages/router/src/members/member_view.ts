import {computeLiveAgeMs, computeReadyAgeMs} from '@greengagecross/decisions';
import {DaemonState, type Heartbeat} from './heartbeat.js';

/** Totals of loads are added up again after so long, in milliseconds. */
const TOTALS_AGE_MS = 50;
/** A daemon that was silent for so long gets no more heartbeats. */
const FORGET_AGE_MS = 20_000;

interface Peer {
  heartbeat: Heartbeat;
  heardAtMs: number;
}

/** The other daemons, as last heard. */
export class MemberView {
  private readonly peers = new Map<string, Peer>();
  /** By backend server, the requests in flight of all other daemons. */
  private totals = new Map<string, number>();
  private totalsAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly selfId: string) {}

  /** Takes in a heartbeat; tells whether it was news. */
  observe(heartbeat: Heartbeat, nowMs: number): boolean {
    if (heartbeat.id === this.selfId) return false;
    const known = this.peers.get(heartbeat.id);
    if (known !== undefined && !isNewer(heartbeat, known.heartbeat)) {
      return false;
    }
    this.peers.set(heartbeat.id, {heartbeat, heardAtMs: nowMs});
    return true;
  }

  /** Tells whether a daemon was heard lately. */
  isKnown(id: string): boolean {
    return this.peers.has(id);
  }

  /** Gets what a daemon told of itself last. */
  getState(id: string): DaemonState | undefined {
    return this.peers.get(id)?.heartbeat.state;
  }

  /** Lists daemons that clients may be sent to, this one not included. */
  listReady(nowMs: number): Heartbeat[] {
    return this.listHeard(computeReadyAgeMs, nowMs).filter(
      ({state}) => state === DaemonState.READY,
    );
  }

  /** Lists daemons that run, this one not included. */
  listLive(nowMs: number): Heartbeat[] {
    return this.listHeard(computeLiveAgeMs, nowMs);
  }

  /** Lists daemons that heartbeats are sent to. */
  listKnown(nowMs: number): Heartbeat[] {
    for (const [id, peer] of this.peers) {
      if (nowMs - peer.heardAtMs > FORGET_AGE_MS) this.peers.delete(id);
    }
    return [...this.peers.values()].map(peer => peer.heartbeat);
  }

  /** Counts requests in flight at a backend server, by all other daemons. */
  countInFlight(serverId: string, nowMs: number): number {
    if (nowMs - this.totalsAtMs > TOTALS_AGE_MS) this.updateTotals(nowMs);
    return this.totals.get(serverId) ?? 0;
  }

  private updateTotals(nowMs: number): void {
    this.totalsAtMs = nowMs;
    this.totals = new Map();
    for (const {inFlight} of this.listLive(nowMs)) {
      for (const [serverId, count] of Object.entries(inFlight)) {
        this.totals.set(serverId, (this.totals.get(serverId) ?? 0) + count);
      }
    }
  }

  private listHeard(
    computeAgeMs: (intervalMs: number) => number,
    nowMs: number,
  ): Heartbeat[] {
    return [...this.peers.values()]
      .filter(({heartbeat, heardAtMs}) => {
        return nowMs - heardAtMs <= computeAgeMs(heartbeat.intervalMs);
      })
      .map(peer => peer.heartbeat);
  }
}

/** Clocks may jump back at a restart; a far lower sequence is a restart too. */
function isNewer(heartbeat: Heartbeat, known: Heartbeat): boolean {
  if (heartbeat.incarnation === known.incarnation) {
    return heartbeat.sequence > known.sequence;
  }
  return (
    heartbeat.incarnation > known.incarnation ||
    heartbeat.sequence < known.sequence
  );
}
