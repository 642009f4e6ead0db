/** Outcome of a request as reported to its caller. */
export enum Outcome {
  /** The answer is complete. */
  COMPLETE = 'complete',
  /**
   * No byte of the request reached a backend server, or the backend server
   * reported that it did not run the request.
   */
  NOT_RUN = 'not-run',
  /** The request ran, at least in part, but has no complete answer. */
  FAILED = 'failed',
  /** The request may or may not have run. */
  UNKNOWN = 'unknown',
}
