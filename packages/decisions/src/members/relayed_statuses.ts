const SMALL_FLEET = 4;
const MEDIUM_FLEET = 40;
const RELAYED = 2;

/**
 * Computes how many statuses of others go with a heartbeat. In a small fleet
 * all are neighbours; in a large one they would come too late to be of use.
 */
export function computeRelayedStatuses(others: number): number {
  return others > SMALL_FLEET && hasEveryStatus(others) ? RELAYED : 0;
}

/** Tells whether a daemon with so many others hears the loads of all. */
export function hasEveryStatus(others: number): boolean {
  return others <= MEDIUM_FLEET;
}
