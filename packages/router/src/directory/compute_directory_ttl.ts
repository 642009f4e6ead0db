/** Time that clients of a small fleet cache a directory answer. */
const SMALL_FLEET_TTL_MS = 1000;
/** Longer in a large fleet, where one stale address among many costs less. */
const LARGE_FLEET_TTL_MS = 2000;
/** Number of daemons from which a fleet counts as large. */
const LARGE_FLEET_DAEMONS = 12;

/**
 * Computes the time that clients cache a directory answer, in milliseconds.
 *
 * The number of look-ups grows with the number of clients, and each look-up
 * costs the daemons CPU time.
 *
 * @param daemons number of ready daemons
 */
export function computeDirectoryTtlMs(daemons: number): number {
  return daemons < LARGE_FLEET_DAEMONS
    ? SMALL_FLEET_TTL_MS
    : LARGE_FLEET_TTL_MS;
}
