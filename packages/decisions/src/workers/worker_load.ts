/**
 * Load and health that a daemon assumes of one worker, a backend server of a
 * plain service.
 */
export interface WorkerLoad {
  readonly id: string;
  readonly availabilityZone: string;
  readonly slots: number;
  /** Requests in flight at the worker, summed over all daemons. */
  readonly inFlight: number;
  /** Mean time until an answer begins, in milliseconds; 0 when unknown. */
  readonly latencyMs: number;
  /** Share of failures among the recent results, 0 to 1. */
  readonly failureShare: number;
  /** Whether the worker is chosen only if all workers are avoided. */
  readonly isAvoided: boolean;
}
