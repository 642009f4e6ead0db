/**
 * Up to this many other daemons, all daemons are neighbours (full mesh): twice
 * the number of rings in ring_neighbours.ts.
 */
const MAX_FULL_MESH_OTHERS = 4;
const PARTIAL_MESH_INTERVAL_FACTOR = 2;
/** Most messages with updates sent to a neighbour per heartbeat interval. */
const UPDATES_PER_HEARTBEAT = 10;
const PARTIAL_MESH_UPDATES_PER_HEARTBEAT = 5;

/**
 * Computes the time between heartbeats to one neighbour, in milliseconds. Used
 * by package `daemon`; in package `router` every daemon sends heartbeats to
 * every other (fleet_heartbeats.ts).
 *
 * Doubled in a fleet in which not all daemons are neighbours: there two daemons
 * send heartbeats to each daemon.
 *
 * @param baseMs interval in a fleet in which all daemons are neighbours, in
 *     milliseconds
 * @param others number of other daemons
 */
export function computeNeighbourHeartbeatMs(
  baseMs: number,
  others: number,
): number {
  return isPartialMesh(others) ? baseMs * PARTIAL_MESH_INTERVAL_FACTOR : baseMs;
}

/**
 * Computes the shortest time between messages to one neighbour, in
 * milliseconds; updates that arise meanwhile are sent together.
 *
 * @param baseMs heartbeat interval in a fleet in which all daemons are
 *     neighbours, in milliseconds
 * @param others number of other daemons
 */
export function computeUpdateGapMs(baseMs: number, others: number): number {
  const count = isPartialMesh(others)
    ? PARTIAL_MESH_UPDATES_PER_HEARTBEAT
    : UPDATES_PER_HEARTBEAT;
  return computeNeighbourHeartbeatMs(baseMs, others) / count;
}

/**
 * Returns whether not all daemons are neighbours, since the fleet has more
 * daemons than one daemon exchanges heartbeats with.
 *
 * @param others number of other daemons
 */
export function isPartialMesh(others: number): boolean {
  return others > MAX_FULL_MESH_OTHERS;
}
