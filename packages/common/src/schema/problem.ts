/** One wrong value in a checked document. */
export interface Problem {
  /** Where it stands, as in `callerListener.port`; `(document)` for the whole. */
  readonly path: string;
  /** What a right value would be. */
  readonly expected: string;
  /** What was found, shortened; never a secret. */
  readonly found: string;
}

/** Formats a problem as one line. */
export function formatProblem(problem: Problem): string {
  return `${problem.path}: expected ${problem.expected}, found ${problem.found}`;
}
