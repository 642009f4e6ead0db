/** Requests in flight per engine of a customer that has reached its limit. */
const REQUESTS_PER_ENGINE = 8;
/**
 * Fewest engines of a customer, unless the customer's limit is smaller or the
 * service has fewer engines.
 */
const MIN_ENGINES = 2;
/** With fewer requests per daemon, rounding makes equal shares too coarse. */
const MIN_REQUESTS_PER_DAEMON = 4;

/**
 * How a customer's limit for chats is divided among engines. Requests that are
 * no chats are limited with `SmallLimitPolicy.ROUND_UP`.
 */
export interface CustomerShare {
  /** Number of engines that the customer's chats are placed on. */
  readonly subsetSize: number;
  /** Maximum of the customer's requests in flight on one engine. */
  readonly maxInFlightPerEngine: number;
}

/**
 * Returns whether each daemon enforces an equal share of a customer's limit by
 * its own count. Otherwise the limit for chats is enforced by the owners of a
 * few engines, the daemons that count these engines' requests.
 */
export function isSplitOverDaemons(
  maxInFlight: number,
  daemonCount: number,
): boolean {
  return maxInFlight / Math.max(1, daemonCount) >= MIN_REQUESTS_PER_DAEMON;
}

/**
 * Divides a customer's limit among a few engines, so that the owner of each
 * engine enforces its share by its own count. Rounding adds at most one request
 * per engine to the limit.
 */
export function computeCustomerShare(
  maxInFlight: number,
  engineCount: number,
): CustomerShare {
  const wantedEngines = Math.ceil(maxInFlight / REQUESTS_PER_ENGINE);
  const minEngines = Math.min(MIN_ENGINES, maxInFlight);
  const subsetSize = Math.min(engineCount, Math.max(minEngines, wantedEngines));
  const maxInFlightPerEngine = Math.ceil(maxInFlight / Math.max(1, subsetSize));
  return {subsetSize, maxInFlightPerEngine};
}
