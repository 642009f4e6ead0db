/** Speed and size of a stand-in engine. */
export interface EngineProfile {
  /** Requests that it serves at once. */
  readonly capacity: number;
  readonly cacheTokens: number;
  readonly prefillMsPerToken: number;
  readonly msPerToken: number;
}

/** An engine small enough to be loaded by a test. */
export const DEFAULT_PROFILE: EngineProfile = {
  capacity: 16,
  cacheTokens: 2_000_000,
  prefillMsPerToken: 0.02,
  msPerToken: 5,
};
