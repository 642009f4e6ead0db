/**
 * Whether the requests of a route may be sent again, and whether they are
 * answered by an event stream.
 */
export enum CallKind {
  /** Idempotent: the request may be run more than once. */
  IDEMPOTENT = 'safe',
  /** The request may be run at most once. */
  UNSAFE = 'unsafe',
  /**
   * A generation: a model's answer, sent as an event stream. The request may be
   * run at most once unless the stream can be resumed.
   */
  STREAM = 'stream',
}
