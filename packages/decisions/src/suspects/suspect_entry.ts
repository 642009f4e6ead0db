import type {SuspectState} from '@greengagecross/common';

/** What a daemon remembers of one request. */
export interface SuspectEntry {
  /** Keyed hash of the request; tells nothing of its text. */
  readonly fingerprint: string;
  readonly state: SuspectState;
  /** When the state was last confirmed, in milliseconds of the local clock. */
  readonly atMs: number;
}
