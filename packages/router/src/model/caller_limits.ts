/** Limits on the requests and connections of clients (also named callers). */
export interface CallerLimits {
  /** Maximum size of request headers; the server allows at least 16 KiB. */
  readonly maxHeaderBytes: number;
  /** Maximum size of a request body. */
  readonly maxBodyBytes: number;
  /**
   * Maximum time until the request headers have been received; the server
   * applies a fixed one instead if that is longer.
   */
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
