/** Limits on the size and duration of requests from callers. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Maximum time until the request headers have been received. */
  readonly headerTimeoutMs: number;
  /** Maximum idle time of a keep-alive connection between requests. */
  readonly idleTimeoutMs: number;
}

/** Limits that apply until the first configuration is loaded. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
