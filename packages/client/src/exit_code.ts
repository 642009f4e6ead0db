/** Exit codes of the operators' client. */
export enum ExitCode {
  OK = 0,
  /** A call to the platform or a daemon failed; a retry may succeed. */
  FAILED = 1,
  /**
   * The command line, the settings or the answers are invalid, or name
   * something that does not exist.
   */
  BAD_INPUT = 2,
  /** Another operator has changed the same answers. */
  CONFLICT = 3,
  /**
   * Some daemon lacks the revision or still runs, or some promise does not hold
   * or is unknown.
   */
  INCOMPLETE = 4,
}
