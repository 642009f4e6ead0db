/** Time that clients cache a directory answer of fewer than 12 daemons. */
const SHORT_TTL_MS = 1000;
/**
 * The same time for 12 or more daemons: longer, because one stale address among
 * many costs a client less.
 */
const LONG_TTL_MS = 2000;
/** Number of ready daemons from which the longer time applies. */
const MIN_LONG_TTL_DAEMONS = 12;

/**
 * Computes the time that clients cache a directory answer, in milliseconds.
 *
 * Clients look up the directory again after this time; each look-up costs the
 * daemons CPU time, which a longer time saves.
 *
 * @param daemons number of ready daemons
 */
export function computeDirectoryTtlMs(daemons: number): number {
  return daemons < MIN_LONG_TTL_DAEMONS ? SHORT_TTL_MS : LONG_TTL_MS;
}
