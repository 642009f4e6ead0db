/** Exit codes of the operators' client. */
export enum ExitCode {
  OK = 0,
  /** Something outside failed; trying again may help. */
  FAILED = 1,
  /** The command line, the settings or the answers are wrong. */
  BAD_INPUT = 2,
  /** Another operator's change stands in the way. */
  CONFLICT = 3,
  /** Done in part: some daemon does not have it yet. */
  INCOMPLETE = 4,
}
