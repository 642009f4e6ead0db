/** What the system tells a caller about its request. */
export enum Outcome {
  /** The whole answer arrived. */
  COMPLETE = 'complete',
  /** No byte of it reached a backend server, or that said it did not run. */
  NOT_RUN = 'not-run',
  /** The request ran, at least in part, and has no whole answer. */
  FAILED = 'failed',
  /** The request may or may not have run. */
  UNKNOWN = 'unknown',
}
