/** Up to this many other daemons, all daemons are neighbours (full mesh). */
const MAX_FULL_MESH_OTHERS = 4;
/** Up to this many other daemons, heartbeats relay statuses. */
const MAX_RELAYING_OTHERS = 40;
/** Statuses relayed with each heartbeat in a fleet of 6 to 41 daemons. */
const RELAYED_STATUSES = 2;

/**
 * Computes how many statuses of other daemons a heartbeat relays.
 *
 * None in a fleet of at most 5 daemons, where all daemons are neighbours, and
 * none in a fleet of more than 41, where relayed statuses would arrive too late
 * to be of use.
 *
 * @param others number of other daemons
 */
export function computeRelayedStatuses(others: number): number {
  return others > MAX_FULL_MESH_OTHERS && hasEveryStatus(others)
    ? RELAYED_STATUSES
    : 0;
}

/**
 * Returns whether each daemon receives the statuses of all others.
 *
 * @param others number of other daemons
 */
export function hasEveryStatus(others: number): boolean {
  return others <= MAX_RELAYING_OTHERS;
}
