/** What the bytes on control sockets are for. */
export enum ControlKind {
  /** Calls that this daemon makes to its peers. */
  CALLS = 'calls',
  /** Calls of peers and operators that it answers. */
  ANSWERS = 'answers',
  /** Configuration and host list. */
  PLATFORM = 'platform',
  /** Claims of requests that may not be repeated. */
  CLAIMS = 'claims',
}
