/** Whether a promise, a guarantee that the fleet states, currently holds. */
export enum PromiseState {
  HOLDS = 'holds',
  /** The promise does not hold. */
  DEGRADED = 'degraded',
  /** Undetermined, as the state that the check needs cannot be read. */
  UNKNOWN = 'unknown',
}

/** State of one promise, as printed by `status`. */
export interface PromiseReport {
  readonly name: string;
  readonly state: PromiseState;
  /** The observed state, in a few words. */
  readonly detail: string;
  /**
   * Since when the promise does not hold, ms since the epoch; absent if it
   * holds or the time is unknown.
   */
  readonly sinceMs?: number;
  /** What the operator should do if the promise does not hold. */
  readonly advice?: string;
}
