import type {Address} from '@greengagecross/common';
import type {RetryBounds} from '@greengagecross/decisions';
import type {DaemonIdentity} from './daemon_identity.js';

/** Settings of one daemon, decoded. */
export interface RouterSettings {
  readonly self: DaemonIdentity;
  readonly readyListener: Address;
  readonly directoryListener: Address;
  readonly metricsListener: Address;
  /** Control addresses of some daemons, which may be out of date. */
  readonly seeds: readonly Address[];
  /** Time from the stop signal until the process is killed, in ms. */
  readonly stopGraceMs: number;
  readonly retryBounds: RetryBounds;
}
