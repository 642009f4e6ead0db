/** Exit codes of the operators' client. */
export enum ExitCode {
  OK = 0,
  /** A call to the platform or a daemon failed; a retry may succeed. */
  FAILED = 1,
  /** The command line, the settings or the answers are invalid. */
  BAD_INPUT = 2,
  /** Another operator has changed the same answers. */
  CONFLICT = 3,
  /** Partly done, such as on some daemons only, or some promise is not held. */
  INCOMPLETE = 4,
}
