import type {SuspectState} from '@greengagecross/common';

/** State of one request that was in flight when its backend server crashed. */
export interface SuspectEntry {
  /** Keyed hash of the request, which reveals nothing of its text. */
  readonly fingerprint: string;
  readonly state: SuspectState;
  /** When the state was last confirmed, in milliseconds since the epoch. */
  readonly atMs: number;
}
