/** Repeatability of the requests of a route. */
export enum CallKind {
  /** Idempotent: the request may be executed more than once. */
  SAFE = 'safe',
  /** The request may be executed at most once. */
  UNSAFE = 'unsafe',
  /**
   * A generation that is answered as an event stream. It may be executed at
   * most once unless the stream can be resumed.
   */
  STREAM = 'stream',
}
