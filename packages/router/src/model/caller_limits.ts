/** What callers may send, and how long they may take or stay idle. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  readonly headerTimeoutMs: number;
  readonly idleTimeoutMs: number;
}

/** What holds until a configuration says otherwise. */
export const DEFAULT_CALLER_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
