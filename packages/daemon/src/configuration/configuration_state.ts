/** State of a daemon's configuration, as in its dump. */
export interface ConfigurationState {
  readonly revision: number;
  readonly digest: string;
  readonly customers: number;
  /** Whether the last poll confirmed this revision as the newest. */
  readonly isCurrent: boolean;
  /** Since when it is not confirmed (at first the start); absent if it is. */
  readonly notCurrentSinceMs?: number;
  /** Revision in the store; absent when the store did not answer. */
  readonly storeRevision?: number;
  /** Why the revision in the store is refused; absent if it is not. */
  readonly refused?: string;
  /** When a revision was first refused for this reason. */
  readonly refusedSinceMs?: number;
}
