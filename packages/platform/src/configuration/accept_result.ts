import type {ConfigurationRevision} from './configuration_revision.js';

/** How an attempt to accept a configuration ended. */
export enum AcceptOutcome {
  ACCEPTED = 'accepted',
  /** Another revision stands than the one that the change was based on. */
  CONFLICT = 'conflict',
}

/** The outcome with the revision that stands now, if any. */
export interface AcceptResult {
  readonly outcome: AcceptOutcome;
  readonly current: ConfigurationRevision | undefined;
}
