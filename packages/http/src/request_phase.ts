/**
 * Whether a failed request may have reached the other end. Not a stage of the
 * exchange: there are no phases for headers or bodies.
 */
export enum RequestPhase {
  /** No byte can have reached the other end. */
  NOT_SENT = 'not-sent',
  /** Bytes may have reached the other end. */
  MAYBE_SENT = 'maybe-sent',
}
