import type {Address} from '@greengagecross/common';
import {WATCH_HEARTBEAT_MS, type LoadSums} from '@greengagecross/decisions';
import type {Heartbeat} from './heartbeat.js';

/** Sends one datagram to each address. */
export type SendHeartbeat = (
  heartbeat: Heartbeat,
  addresses: readonly Address[],
) => void;

/**
 * Returns whether loads go through collectors. In a smaller fleet heartbeats
 * carry them often enough.
 *
 * @param intervalMs interval of the heartbeats to all daemons
 */
export function hasCollectors(intervalMs: number): boolean {
  return intervalMs > WATCH_HEARTBEAT_MS;
}

/**
 * Decides which heartbeats carry the requests in flight of this daemon: without
 * recent sums all of them, otherwise those to peers that say that they have no
 * sums.
 *
 * Answers the load of heartbeats from every daemon to every other, whose bytes
 * grow with the requests in flight.
 */
export class HeartbeatCounts {
  constructor(
    private readonly sums: LoadSums,
    private readonly sendTo: SendHeartbeat,
  ) {}

  /** Returns whether this daemon needs the counts in heartbeats of others. */
  isMissing(intervalMs: number, nowMs: number): boolean {
    return hasCollectors(intervalMs) && this.sums.isMissing(nowMs);
  }

  /**
   * Sends a heartbeat, without its counts where they are not needed.
   *
   * @param heartbeat this daemon's heartbeat, with its requests in flight
   * @param peers last heartbeats of the receivers
   * @param unknown addresses of daemons that have sent none
   */
  send(
    heartbeat: Heartbeat,
    peers: readonly Heartbeat[],
    unknown: readonly Address[] = [],
  ): void {
    const isSentToAll =
      !hasCollectors(heartbeat.intervalMs) || heartbeat.isMissingLoads === true;
    const withCounts: Address[] = [];
    const withoutCounts = [...unknown];
    for (const {isMissingLoads, heartbeats} of peers) {
      const isNeeded = isSentToAll || isMissingLoads === true;
      (isNeeded ? withCounts : withoutCounts).push(heartbeats);
    }
    const isIdle = Object.keys(heartbeat.inFlight).length === 0;
    this.sendTo(isIdle ? {...heartbeat, isIdle} : heartbeat, withCounts);
    this.sendTo({...heartbeat, inFlight: {}}, withoutCounts);
  }
}
