/**
 * Kind of traffic other than callers' requests and calls to backend servers;
 * label of the counter of control bytes.
 */
export enum ControlKind {
  /** RPCs from this daemon to its peers. */
  CALLS = 'calls',
  /** Calls of peers and operators that this daemon answers. */
  ANSWERS = 'answers',
  /** Store calls for the configuration and the host list. */
  PLATFORM = 'platform',
  /** Store calls for the claims of non-repeatable calls. */
  CLAIMS = 'claims',
}
