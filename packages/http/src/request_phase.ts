/** Whether a failed request may have reached the other end. */
export enum RequestPhase {
  /** No byte can have reached the other end. */
  NOT_SENT = 'not-sent',
  /** Bytes may have reached the other end. */
  MAYBE_SENT = 'maybe-sent',
}
