/** One run of a suspect, with no other suspect on its backend server. */
export interface Trial {
  readonly fingerprint: string;
  readonly backend: string;
  /** Daemon that runs it. */
  readonly holder: string;
  /** Id of its attempt. */
  readonly attemptId: string;
  /** When it ends at the latest, in milliseconds of the local clock. */
  readonly untilMs: number;
}
