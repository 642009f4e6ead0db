/** How long clients of a small fleet keep a directory answer, in ms. */
const SMALL_FLEET_TTL_MS = 1000;
/** The same in a large fleet, where one bad address of many costs less. */
const LARGE_FLEET_TTL_MS = 2000;
/** Daemons of a fleet that no longer counts as small. */
const LARGE_FLEET = 12;

/**
 * Computes how long clients keep a directory answer.
 *
 * Their look-ups grow with the clients and cost the daemons processor time.
 *
 * @param daemons daemons that the answer chooses from
 */
export function computeDirectoryTtlMs(daemons: number): number {
  return daemons < LARGE_FLEET ? SMALL_FLEET_TTL_MS : LARGE_FLEET_TTL_MS;
}
