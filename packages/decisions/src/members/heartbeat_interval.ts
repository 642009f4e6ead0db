const ALL_NEIGHBOURS = 4;
const LARGE_FLEET_FACTOR = 2;
const NEWS_PER_HEARTBEAT = 10;
const LARGE_FLEET_NEWS_PER_HEARTBEAT = 5;

/**
 * Computes the time between heartbeats to one neighbour. In fleets where not
 * all are neighbours two others watch each daemon, in turn.
 */
export function computeHeartbeatMs(baseMs: number, others: number): number {
  return isLargeFleet(others) ? baseMs * LARGE_FLEET_FACTOR : baseMs;
}

/** Computes for how long news is gathered after a heartbeat. */
export function computeNewsGapMs(baseMs: number, others: number): number {
  const count = isLargeFleet(others)
    ? LARGE_FLEET_NEWS_PER_HEARTBEAT
    : NEWS_PER_HEARTBEAT;
  return computeHeartbeatMs(baseMs, others) / count;
}

/** Tells whether there are more daemons than one exchanges heartbeats with. */
export function isLargeFleet(others: number): boolean {
  return others > ALL_NEIGHBOURS;
}
