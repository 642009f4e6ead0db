/** What a daemon believes of one worker of a plain service. */
export interface WorkerLoad {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Requests in flight there, summed over all daemons. */
  readonly inFlight: number;
  /** Mean time to its answer, in milliseconds; 0 when unknown. */
  readonly latencyMs: number;
  /** Share of failures among its latest results. */
  readonly failureShare: number;
  readonly isAvoided: boolean;
}
