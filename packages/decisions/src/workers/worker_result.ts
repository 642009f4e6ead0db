/** What one exchange with a backend server says about that server. */
export enum WorkerResult {
  /** It answered as its protocol says. */
  OK = 'ok',
  /** It answered with a failure of its own. */
  ERROR = 'error',
  /** It answered that it did not run the request. */
  SHED = 'shed',
  /** Its answer was cut, broken or another request's. */
  BROKEN = 'broken',
  /** No connection could be opened. */
  UNREACHABLE = 'unreachable',
  /** It took a request and sent nothing in time. */
  SILENT = 'silent',
}
