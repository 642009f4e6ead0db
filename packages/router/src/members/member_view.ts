import {DaemonState, type Heartbeat} from './heartbeat.js';

/** A daemon that left out so many heartbeats is not named to clients. */
const READY_INTERVALS = 4.5;
/** A daemon that left out so many heartbeats no longer counts as running. */
const LIVE_INTERVALS = 12;
/** A daemon that was silent for so long gets no more heartbeats. */
const FORGET_AGE_MS = 20_000;

interface Peer {
  heartbeat: Heartbeat;
  heardAtMs: number;
}

/** The other daemons, as last heard. */
export class MemberView {
  private readonly peers = new Map<string, Peer>();

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
    return this.listHeardWithin(READY_INTERVALS, nowMs).filter(
      ({state}) => state === DaemonState.READY,
    );
  }

  /** Lists daemons that run, this one not included. */
  listLive(nowMs: number): Heartbeat[] {
    return this.listHeardWithin(LIVE_INTERVALS, nowMs);
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
    let count = 0;
    for (const peer of this.peers.values()) {
      if (!isHeardWithin(peer, LIVE_INTERVALS, nowMs)) continue;
      const {heartbeat} = peer;
      count += heartbeat.inFlight[serverId] ?? 0;
    }
    return count;
  }

  private listHeardWithin(intervals: number, nowMs: number): Heartbeat[] {
    return [...this.peers.values()]
      .filter(peer => isHeardWithin(peer, intervals, nowMs))
      .map(peer => peer.heartbeat);
  }
}

function isHeardWithin(peer: Peer, intervals: number, nowMs: number): boolean {
  return nowMs - peer.heardAtMs <= intervals * peer.heartbeat.intervalMs;
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
