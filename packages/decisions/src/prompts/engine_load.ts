/** State of one engine, as this daemon sees it when it places a prompt. */
export interface EngineLoad {
  readonly id: string;
  /** Requests in flight on the engine, summed over all daemons. */
  readonly inFlight: number;
  /** Whether recent failures make other engines preferable. */
  readonly isAvoided: boolean;
}
