/** Limits on hedged requests, set by the operator. */
export interface HedgeLimits {
  /** Hedges allowed per request of a route on one daemon; 0 to 1. */
  readonly maxExtraShare: number;
  /** Minimum time before a hedge is sent, in milliseconds. */
  readonly minDelayMs: number;
}

/** Delay after which a request is hedged, and what it was computed from. */
export interface HedgeDelay {
  readonly delayMs: number;
  /** Number of latencies that the delay was computed from. */
  readonly samples: number;
  /** Age of the newest of them when the delay was read, in milliseconds. */
  readonly ageMs: number;
}

/** Why a request that was open after its delay was not hedged. */
export enum HedgeRefusal {
  /** Hedging was turned off, or too few recent latencies are known. */
  OFF = 'off',
  /** Too many slots of the service's servers are in use. */
  BUSY = 'busy',
  /** More servers are slow than quick. */
  ALL_SLOW = 'all-slow',
  /** No server with a free slot is left that is not slow. */
  NO_SERVER = 'no-server',
  /** The hedges of the route have reached their share of its requests. */
  SHARE = 'share',
  /** A server of the service is cold, or its zone is evacuated. */
  REDUCED = 'reduced',
  /** No retry is left in the budget of the service. */
  RETRY_BUDGET = 'retry-budget',
  /** No further attempt of the request is allowed. */
  ATTEMPTS = 'attempts',
}

/** Decision on one hedge, with its inputs. */
export interface HedgeDecision {
  /** Why no hedge may be sent; undefined if it may. */
  readonly refusal: HedgeRefusal | undefined;
  /** Ids of the servers that a hedge may be sent to. */
  readonly serverIds: ReadonlySet<string>;
  /** Requests in flight at the service's servers, summed over all daemons. */
  readonly inFlight: number;
  readonly slots: number;
  readonly quickServers: number;
  readonly slowServers: number;
}
