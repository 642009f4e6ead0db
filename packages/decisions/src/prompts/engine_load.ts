/** State of one engine that this daemon assumes when it places a prompt. */
export interface EngineLoad {
  readonly id: string;
  /** Requests in flight on the engine, summed over all daemons. */
  readonly inFlight: number;
  /** Whether recent failures make other engines preferable. */
  readonly isAvoided: boolean;
}
