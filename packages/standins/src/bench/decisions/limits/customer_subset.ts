/** Requests of one customer that one engine carries at its limit. */
const SHARE_PER_ENGINE = 8;
const MIN_SUBSET = 2;

/** On how many engines a customer's chats are placed, and how many on each. */
export interface CustomerShare {
  readonly subsetSize: number;
  /** Most requests of the customer in flight on one engine. */
  readonly perEngine: number;
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
