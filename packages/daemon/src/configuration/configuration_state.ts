/** What a daemon's dump says of its configuration. */
export interface ConfigurationState {
  readonly revision: number;
  readonly digest: string;
  readonly customers: number;
  /** Whether the store has just confirmed that this is the newest. */
  readonly isCurrent: boolean;
  /** Since when it could not be confirmed. */
  readonly notCurrentSinceMs?: number;
  /** Revision that the store shows, if it answers. */
  readonly storeRevision?: number;
  /** Why what the store shows is not taken. */
  readonly refused?: string;
  readonly refusedSinceMs?: number;
}
