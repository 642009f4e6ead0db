/** Why an HTTP exchange or listener failed. */
export enum HttpFailure {
  /** No connection was established. */
  CONNECT = 'connect',
  /** No byte was received within the silence timeout. */
  SILENT = 'silent',
  /** The head of the reply was not complete within its timeout. */
  NO_REPLY = 'no-reply',
  /** The exchange was not complete within its total timeout. */
  TOO_SLOW = 'too-slow',
  /** The connection closed before the exchange was complete. */
  CLOSED = 'closed',
  /** The received bytes are not a reply in HTTP/1.0 or HTTP/1.1. */
  MALFORMED = 'malformed-reply',
  /** The chunks of a request's body are malformed. */
  MALFORMED_REQUEST = 'malformed-request',
  /** The client took too long to send its request. */
  TIMED_OUT = 'timed-out',
  /** The body exceeded its size limit. */
  TOO_LARGE = 'too-large',
  /** The process held too many bytes of bodies; this one was the largest. */
  OVERLOADED = 'overloaded',
  /** The listener could not bind its address. */
  LISTEN = 'listen',
}
