/** Time that clients cache a directory answer of fewer than 12 daemons. */
const SMALL_FLEET_TTL_MS = 1000;
/**
 * The same time for 12 or more daemons: longer, because one stale address among
 * many costs a client less.
 */
const LARGE_FLEET_TTL_MS = 2000;
/** Number of ready daemons from which the longer time applies. */
const LARGE_FLEET_DAEMONS = 12;

/**
 * Computes the time that clients cache a directory answer, in milliseconds.
 *
 * Clients look up the directory again after this time; each look-up costs the
 * daemons CPU time, which a longer time saves.
 *
 * @param daemons number of ready daemons
 */
export function computeDirectoryTtlMs(daemons: number): number {
  return daemons < LARGE_FLEET_DAEMONS
    ? SMALL_FLEET_TTL_MS
    : LARGE_FLEET_TTL_MS;
}
