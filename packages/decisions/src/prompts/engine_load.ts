/** What a daemon believes of one engine when it places a prompt. */
export interface EngineLoad {
  readonly id: string;
  /** Requests in flight there, summed over all daemons. */
  readonly inFlight: number;
  /** Whether its latest results speak against it. */
  readonly isAvoided: boolean;
}
