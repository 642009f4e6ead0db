/** Whether a promise, a guarantee that the fleet states, currently holds. */
export enum PromiseState {
  HOLDS = 'holds',
  DEGRADED = 'degraded',
  /** Undetermined, as the required state cannot be read now. */
  UNKNOWN = 'unknown',
}

/** State of one promise, as printed by `status`. */
export interface PromiseReport {
  readonly name: string;
  readonly state: PromiseState;
  /** The observed state, in a few words. */
  readonly detail: string;
  /** Since when it does not hold; absent if it holds or this is unknown. */
  readonly sinceMs?: number;
  /** What the operator should do if the promise does not hold. */
  readonly advice?: string;
}
