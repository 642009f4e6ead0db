/** What may be done again with a request of a route. */
export enum CallKind {
  /** Idempotent: it may run more than once. */
  SAFE = 'safe',
  /** It may run at most once. */
  UNSAFE = 'unsafe',
  /** A generation; it may run at most once unless it can be resumed. */
  STREAM = 'stream',
}
