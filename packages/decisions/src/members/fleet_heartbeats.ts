/** Shortest time between heartbeats: loads told are at most so old, in ms. */
export const MIN_FLEET_HEARTBEAT_MS = 200;
/**
 * Time between heartbeats for each daemon of the fleet, in ms: a daemon then
 * takes at most 33 a second however many daemons there are.
 */
const HEARTBEAT_MS_PER_DAEMON = 30;
/** A daemon silent for so long is not named to clients: four lost in a row. */
const MIN_READY_AGE_MS = 900;
/** The same in large fleets, in heartbeats: one may be lost. */
const READY_INTERVALS = 2.5;
/** A daemon silent for so long no longer counts as running, in ms. */
const MIN_LIVE_AGE_MS = 2400;
const LIVE_INTERVALS = 4;

/**
 * Computes the time between a daemon's heartbeats to all others, in
 * milliseconds.
 *
 * @param daemons daemons of the fleet, this one included
 */
export function computeFleetHeartbeatMs(daemons: number): number {
  return Math.max(MIN_FLEET_HEARTBEAT_MS, HEARTBEAT_MS_PER_DAEMON * daemons);
}

/** Computes how old a last heartbeat may be for clients to be sent there. */
export function computeReadyAgeMs(intervalMs: number): number {
  return Math.max(MIN_READY_AGE_MS, READY_INTERVALS * intervalMs);
}

/** Computes how old a last heartbeat may be for its daemon to count. */
export function computeLiveAgeMs(intervalMs: number): number {
  return Math.max(MIN_LIVE_AGE_MS, LIVE_INTERVALS * intervalMs);
}
