/** One invalid value in a validated document. */
export interface Problem {
  /**
   * Path of the value, such as `callerListener.port`; `(document)` for the
   * document itself.
   */
  readonly path: string;
  /** Description of a valid value. */
  readonly expected: string;
  /** The invalid value, truncated; never a secret. */
  readonly found: string;
}

/** Formats a problem as one line. */
export function formatProblem(problem: Problem): string {
  return `${problem.path}: expected ${problem.expected}, found ${problem.found}`;
}
