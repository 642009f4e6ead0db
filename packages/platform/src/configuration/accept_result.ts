import type {ConfigurationRevision} from './configuration_revision.js';

/** Whether the offer of a configuration was accepted. */
export enum AcceptOutcome {
  ACCEPTED = 'accepted',
  /** The current revision is not the base revision of the offer. */
  CONFLICT = 'conflict',
}

/** Outcome of an offer, with the revision that it concerns. */
export interface AcceptResult {
  readonly outcome: AcceptOutcome;
  /**
   * On ACCEPTED, the revision that the operation accepted: for a repeated
   * operation the earlier one, which may no longer be the current revision. On
   * CONFLICT, the current revision; undefined before the first.
   */
  readonly current: ConfigurationRevision | undefined;
}
