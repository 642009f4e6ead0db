/** Up to this many other daemons, all daemons are neighbours. */
const MAX_FULL_MESH_PEERS = 4;
const LARGE_FLEET_INTERVAL_FACTOR = 2;
/** Most messages with updates sent to a neighbour per heartbeat interval. */
const UPDATES_PER_HEARTBEAT = 10;
const LARGE_FLEET_UPDATES_PER_HEARTBEAT = 5;

/**
 * Computes the time between heartbeats to one neighbour, in milliseconds.
 *
 * Doubled in fleets where not all daemons are neighbours, since two others
 * monitor each daemon there in turn.
 *
 * @param others number of other daemons
 */
export function computeHeartbeatMs(baseMs: number, others: number): number {
  return isLargeFleet(others) ? baseMs * LARGE_FLEET_INTERVAL_FACTOR : baseMs;
}

/**
 * Computes the shortest time between messages to one neighbour, in
 * milliseconds; updates that arise meanwhile are sent together.
 *
 * @param others number of other daemons
 */
export function computeUpdateGapMs(baseMs: number, others: number): number {
  const count = isLargeFleet(others)
    ? LARGE_FLEET_UPDATES_PER_HEARTBEAT
    : UPDATES_PER_HEARTBEAT;
  return computeHeartbeatMs(baseMs, others) / count;
}

/**
 * Tells whether the fleet has more daemons than one daemon exchanges heartbeats
 * with.
 *
 * @param others number of other daemons
 */
export function isLargeFleet(others: number): boolean {
  return others > MAX_FULL_MESH_PEERS;
}
