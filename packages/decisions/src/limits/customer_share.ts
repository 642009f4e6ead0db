/** Requests of one customer that one engine carries at its limit. */
const SHARE_PER_ENGINE = 8;
const MIN_SUBSET = 2;
/** Below this many requests a daemon's equal part is too coarse. */
const MIN_DAEMON_PART = 4;

/** On how many engines a customer's chats are placed, and how many on each. */
export interface CustomerShare {
  readonly subsetSize: number;
  /** Most requests of the customer in flight on one engine. */
  readonly perEngine: number;
}

/**
 * Tells whether each daemon holds an equal part of a customer's limit by its
 * own count. Otherwise the owners of a few engines hold it for chats.
 */
export function isSplitOverDaemons(
  maxInFlight: number,
  daemonCount: number,
): boolean {
  return maxInFlight / Math.max(1, daemonCount) >= MIN_DAEMON_PART;
}

/**
 * Divides a customer's limit among a few engines, so that the daemons which
 * own them hold it by their own counts: the sum is at most the limit plus one
 * request of rounding for each engine.
 */
export function computeCustomerShare(
  maxInFlight: number,
  engineCount: number,
): CustomerShare {
  const wanted = Math.ceil(maxInFlight / SHARE_PER_ENGINE);
  const atLeast = Math.min(MIN_SUBSET, maxInFlight);
  const subsetSize = Math.min(engineCount, Math.max(atLeast, wanted));
  const perEngine = Math.ceil(maxInFlight / Math.max(1, subsetSize));
  return {subsetSize, perEngine};
}
