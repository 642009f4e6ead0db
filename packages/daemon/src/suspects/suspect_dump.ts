import type {SuspectEntry, Trial} from '@greengagecross/decisions';

/** A daemon's state of suspects and trials, for operators. */
export interface SuspectDump {
  readonly entries: readonly SuspectEntry[];
  /** Trials that this daemon has granted, including expired ones. */
  readonly trials: readonly Trial[];
  /** Number of peers that did not confirm some update. */
  readonly untoldPeers: number;
  /** Number of requests in flight here at a crash, since the start. */
  readonly crashes: number;
  /** Number of update messages sent to peers, since the start. */
  readonly sentMessages: number;
}
