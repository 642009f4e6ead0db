/** Result of one request to an engine or worker, used to rate that server. */
export enum ServerResult {
  /** The server replied according to its protocol. */
  OK = 'ok',
  /** The server replied with an error status of its own. */
  ERROR = 'error',
  /** The server replied that it did not run the request. */
  SHED = 'shed',
  /**
   * The reply was truncated, malformed or for another request, or the
   * connection ended before a complete reply.
   */
  INVALID_REPLY = 'broken',
  /** No connection could be opened. */
  UNREACHABLE = 'unreachable',
  /** The server accepted a request and sent nothing in time. */
  SILENT = 'silent',
}
