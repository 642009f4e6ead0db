/** Limits of a daemon's settings on the requests to cold servers. */
export interface ColdLimits {
  /**
   * Allowed multiple, in any second, of the requests per second that a cold
   * server tolerates.
   */
  readonly overage: number;
  /** Further requests allowed in any second. */
  readonly slack: number;
}

/** What the configuration says of the cold servers of one service. */
export interface ColdService {
  /** Requests per second that a cold server tolerates; more than 0. */
  readonly requestsPerSecond: number;
  /** Time for which a server is cold after its start, in milliseconds. */
  readonly startMs: number;
}
