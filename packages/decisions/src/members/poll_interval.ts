/** Fleets up to this size poll at the base interval. */
const BASE_FLEET_DAEMONS = 5;

/**
 * Computes the time between one daemon's polls of the platform's list of hosts,
 * in milliseconds. In a larger fleet all daemons together poll as often as a
 * fleet of five.
 *
 * @param baseMs interval in a fleet of at most five daemons, in milliseconds
 * @param daemons daemons of the fleet, this one included
 */
export function computePollMs(baseMs: number, daemons: number): number {
  return Math.ceil(baseMs * Math.max(1, daemons / BASE_FLEET_DAEMONS));
}
