import type {SuspectEntry, Trial} from '@greengagecross/decisions';

/** A daemon's state of suspects and trials, for operators. */
export interface SuspectDump {
  readonly entries: readonly SuspectEntry[];
  /** Trials that this daemon has granted, including expired ones. */
  readonly trials: readonly Trial[];
  /** Number of peers that have not confirmed at least one update. */
  readonly untoldPeers: number;
  /** Requests that were in flight here at a crash, since the start. */
  readonly crashes: number;
  /** Update messages tried, retries included, since the start. */
  readonly sentMessages: number;
  /** Messages of chats that are refused since engines crash under them. */
  readonly refusedTexts: number;
}
