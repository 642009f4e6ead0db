/** A small fleet has at most this many other daemons. */
const SMALL_FLEET_OTHERS = 4;
/** A medium fleet has at most this many other daemons. */
const MEDIUM_FLEET_OTHERS = 40;
/** Statuses relayed with each heartbeat in a medium fleet. */
const RELAYED_STATUSES = 2;

/**
 * Computes how many statuses of other daemons a heartbeat relays.
 *
 * None in a small fleet, where all daemons are neighbours, and none in a large
 * fleet, where relayed statuses would arrive too late to be of use.
 *
 * @param others number of other daemons
 */
export function computeRelayedStatuses(others: number): number {
  return others > SMALL_FLEET_OTHERS && hasEveryStatus(others)
    ? RELAYED_STATUSES
    : 0;
}

/**
 * Tells whether each daemon receives the loads of all others.
 *
 * @param others number of other daemons
 */
export function hasEveryStatus(others: number): boolean {
  return others <= MEDIUM_FLEET_OTHERS;
}
