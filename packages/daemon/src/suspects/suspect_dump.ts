import type {SuspectEntry, Trial} from '@greengagecross/decisions';

/** What a daemon holds against requests, for operators. */
export interface SuspectDump {
  readonly entries: readonly SuspectEntry[];
  /** Trials that this daemon has permitted. */
  readonly trials: readonly Trial[];
  /** Peers that did not confirm to have been told something. */
  readonly untoldPeers: number;
  /** Requests in flight here at a crash, since the start. */
  readonly crashes: number;
  /** Messages sent to peers, since the start. */
  readonly sentMessages: number;
}
