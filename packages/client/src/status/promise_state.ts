/** Whether a promise holds as far as operators can see it now. */
export enum PromiseState {
  HOLDS = 'holds',
  DEGRADED = 'degraded',
  /** It cannot be seen now. */
  UNKNOWN = 'unknown',
}

/** One promise as it stands. */
export interface PromiseReport {
  readonly name: string;
  readonly state: PromiseState;
  /** What was seen, in a few words. */
  readonly detail: string;
  /** Since when it is degraded, if that is known. */
  readonly sinceMs?: number;
  /** What to do, when it does not hold. */
  readonly advice?: string;
}
