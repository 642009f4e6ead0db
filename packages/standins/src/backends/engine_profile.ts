/** Speed and size of a stand-in engine. */
export interface EngineProfile {
  /** Requests that it serves at once. */
  readonly capacity: number;
  readonly cacheTokens: number;
  readonly prefillMsPerToken: number;
  readonly msPerToken: number;
  /** Version that it starts with. */
  readonly modelVersion: string;
  /** Whether it refuses an order with an old fencing number. */
  readonly checksFencing: boolean;
  /** Time to load a version. */
  readonly loadMs: number;
}

/** An engine small enough to be loaded by a test. */
export const DEFAULT_PROFILE: EngineProfile = {
  capacity: 16,
  cacheTokens: 2_000_000,
  prefillMsPerToken: 0.02,
  msPerToken: 5,
  modelVersion: 'v1',
  checksFencing: true,
  loadMs: 500,
};
