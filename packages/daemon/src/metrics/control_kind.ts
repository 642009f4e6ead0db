/** Kind of traffic on control sockets; label of the byte counter. */
export enum ControlKind {
  /** Calls from this daemon to its peers. */
  CALLS = 'calls',
  /** Calls from peers and operators to this daemon. */
  ANSWERS = 'answers',
  /** Requests for the configuration and the host list. */
  PLATFORM = 'platform',
  /** Reads and writes of the claims of non-repeatable requests. */
  CLAIMS = 'claims',
}
