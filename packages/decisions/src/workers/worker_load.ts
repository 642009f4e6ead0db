/**
 * Load and health that a daemon assumes of one backend server. It is used for
 * workers, the servers of a service without prompts.
 */
export interface ServerLoad {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Requests in flight at the server, summed over all daemons. */
  readonly inFlight: number;
  /** Mean time until a reply begins, in milliseconds; 0 when unknown. */
  readonly latencyMs: number;
  /** Share of failures among the recent results, 0 to 1. */
  readonly failureShare: number;
  /** Whether the server is chosen only if all servers are avoided. */
  readonly isAvoided: boolean;
}
