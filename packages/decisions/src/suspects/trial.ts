/**
 * A run of a suspect (a request) while no other suspect runs on the same
 * backend server, so that a crash is attributed to that suspect.
 */
export interface Trial {
  /** Keyed hash of the suspect. */
  readonly fingerprint: string;
  /** Id of the backend server. */
  readonly backend: string;
  /** Id of the daemon that runs the trial. */
  readonly holder: string;
  /** Id of the attempt that runs as this trial. */
  readonly attemptId: string;
  /** When the trial expires, in milliseconds since the epoch. */
  readonly untilMs: number;
}
