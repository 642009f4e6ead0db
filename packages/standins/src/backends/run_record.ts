/** What a stand-in backend server writes down of each request that it ran. */
export interface RunRecord {
  readonly attemptId: string;
  readonly customer: string;
  readonly chat: string;
  /** Caller's own id of the work, out of the body; empty if it has none. */
  readonly workId: string;
  readonly promptTokens: number;
  readonly cachedTokens: number;
  /** Whether it ran to its end. */
  isFinished: boolean;
}
