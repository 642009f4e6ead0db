import type {ConfigurationRevision} from './configuration_revision.js';

/** Result of an attempt to accept a configuration. */
export enum AcceptOutcome {
  ACCEPTED = 'accepted',
  /** The current revision is not the base revision of the offer. */
  CONFLICT = 'conflict',
}

/** The result of an attempt, with the revision that it concerns. */
export interface AcceptResult {
  readonly outcome: AcceptOutcome;
  /** Accepted revision, or on CONFLICT the current one, if there is any. */
  readonly current: ConfigurationRevision | undefined;
}
