/** Limit on the requests that all daemons together send to one cold server. */
export interface ColdBound {
  /** Requests per second that a cold server of the service tolerates. */
  readonly requestsPerSecond: number;
  /** Allowed multiple of that rate in any second. */
  readonly overage: number;
  /** Further requests allowed in any second. */
  readonly slack: number;
}

/** Part of a bound that each daemon may use by itself. */
export interface ColdShare {
  /** Number of daemons that may send to one cold server; 0 for none. */
  readonly senders: number;
  /** Time in which one of these daemons gains the right to one request. */
  readonly tokenIntervalMs: number;
}

/**
 * Longest time between the choice of a server and the sending of the request:
 * the connect timeout of an attempt. Requests that were chosen over a second and
 * this time may be sent within one second.
 */
const MAX_SEND_DELAY_S = 0.35;
/**
 * Number of conflicting views of the members at the same time, such as on both
 * sides of a network partition. Each has senders of its own.
 */
const CONFLICTING_VIEWS = 2;
/**
 * Share of the requests of one view that are the senders' stored tokens; the
 * rest are gained within the second. More senders make it likelier that a daemon
 * with a request is one of them, a higher rate serves more requests.
 */
const STORED_SHARE = 0.4;
/**
 * Lowest rate of a bound that allows a request at all: one request in two
 * seconds, so that a server with a very low bound is still used.
 */
const MIN_REQUESTS_PER_SECOND = 0.5;

/**
 * Splits a bound between daemons: with K senders and R requests per second in
 * total, K + R x (1 s + MAX_SEND_DELAY_S) is at most half of the bound.
 */
export function computeColdShare(bound: ColdBound): ColdShare {
  const {requestsPerSecond, overage, slack} = bound;
  const allowed = requestsPerSecond * overage + slack;
  if (allowed < 1) return {senders: 0, tokenIntervalMs: Infinity};
  const allowedPerView = allowed / CONFLICTING_VIEWS;
  const senders = Math.max(1, Math.floor(STORED_SHARE * allowedPerView));
  const rate = Math.max(
    MIN_REQUESTS_PER_SECOND,
    (allowedPerView - senders) / (1 + MAX_SEND_DELAY_S),
  );
  return {senders, tokenIntervalMs: (1000 * senders) / rate};
}
