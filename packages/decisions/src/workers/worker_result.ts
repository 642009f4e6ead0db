/** Result of one request to a backend server, used to rate that server. */
export enum WorkerResult {
  /** The server answered according to its protocol. */
  OK = 'ok',
  /** The server answered with an error status of its own. */
  ERROR = 'error',
  /** The server answered that it did not run the request. */
  SHED = 'shed',
  /** The answer was truncated, malformed or for another request. */
  INVALID_REPLY = 'broken',
  /** No connection could be opened. */
  UNREACHABLE = 'unreachable',
  /** The server accepted a request and sent nothing in time. */
  SILENT = 'silent',
}
