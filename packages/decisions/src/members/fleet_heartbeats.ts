/**
 * Shortest time between the heartbeats that every daemon sends to every other,
 * in milliseconds. Decides in a fleet of at most 6 daemons: there a load
 * received from another daemon is at most this old.
 */
export const MIN_FLEET_HEARTBEAT_MS = 200;
/**
 * Heartbeat interval per daemon of the fleet, above the shortest interval: a
 * daemon then receives at most 33 heartbeats a second in a fleet of any size.
 */
const HEARTBEAT_MS_PER_DAEMON = 30;
/**
 * Shortest silence after which a daemon is left out of the directory that
 * callers read: at the shortest interval, after four lost heartbeats in a row.
 */
const MIN_READY_AGE_MS = 900;
/**
 * Shortest such silence in heartbeat intervals: after two lost heartbeats in a
 * row. Decides in a fleet of more than 12 daemons.
 */
const READY_AGE_INTERVALS = 2.5;
/**
 * Shortest silence after which a daemon no longer counts as running: at the
 * shortest interval, after eleven lost heartbeats in a row.
 */
const MIN_LIVE_AGE_MS = 2400;
/**
 * Shortest such silence in heartbeat intervals: after three lost heartbeats in
 * a row. Decides in a fleet of more than 20 daemons.
 */
const LIVE_AGE_INTERVALS = 4;

/**
 * Computes the time between a daemon's heartbeats to all others, in
 * milliseconds. Used by package `router`; package `daemon` sends heartbeats
 * between neighbours (heartbeat_interval.ts).
 *
 * @param daemons daemons of the fleet, this one included
 */
export function computeFleetHeartbeatMs(daemons: number): number {
  return Math.max(MIN_FLEET_HEARTBEAT_MS, HEARTBEAT_MS_PER_DAEMON * daemons);
}

/**
 * Computes the greatest age of a daemon's last heartbeat, in milliseconds, at
 * which callers are still sent to that daemon.
 */
export function computeReadyAgeMs(intervalMs: number): number {
  return Math.max(MIN_READY_AGE_MS, READY_AGE_INTERVALS * intervalMs);
}

/**
 * Computes the greatest age of a daemon's last heartbeat, in milliseconds, at
 * which that daemon still counts as running.
 */
export function computeLiveAgeMs(intervalMs: number): number {
  return Math.max(MIN_LIVE_AGE_MS, LIVE_AGE_INTERVALS * intervalMs);
}
