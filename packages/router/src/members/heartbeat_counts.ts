import {Logger, type Address} from '@greengagecross/common';
import {WATCH_HEARTBEAT_MS, type LoadSums} from '@greengagecross/decisions';
import type {Heartbeat} from './heartbeat.js';

const logger = new Logger('members');

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
  private wasMissing = false;

  constructor(
    private readonly sums: LoadSums,
    private readonly sendTo: SendHeartbeat,
  ) {}

  /** Returns whether this daemon needs the counts in heartbeats of others. */
  isMissing(intervalMs: number, nowMs: number): boolean {
    return hasCollectors(intervalMs) && this.sums.isMissing(nowMs);
  }

  /** Logs whether loads are missing, if that has changed since the last call. */
  logChange(intervalMs: number, nowMs: number): void {
    const isMissing = this.isMissing(intervalMs, nowMs);
    if (isMissing === this.wasMissing) return;
    this.wasMissing = isMissing;
    logger.log(
      isMissing
        ? 'Loads of other daemons are missing; heartbeats carry them.'
        : 'Loads of other daemons arrive from collectors again.',
      {heartbeatIntervalMs: intervalMs, ...this.sums.describe(nowMs)},
    );
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
    const {silent = {}, suspects = [], ...rest} = heartbeat;
    const sent = {
      ...rest,
      ...(hasKeys(silent) ? {silent} : {}),
      ...(suspects.length > 0 ? {suspects} : {}),
    };
    const idle = hasKeys(heartbeat.inFlight) ? {} : {isIdle: true};
    this.sendTo({...sent, ...idle}, withCounts);
    this.sendTo({...sent, inFlight: {}}, withoutCounts);
  }
}

function hasKeys(record: object): boolean {
  return Object.keys(record).length > 0;
}
