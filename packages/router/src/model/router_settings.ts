import type {Address} from '@greengagecross/common';
import type {HedgeLimits, RetryLimits} from '@greengagecross/decisions';
import type {ColdLimits} from './cold_limits.js';
import type {DaemonIdentity} from './daemon_identity.js';

/** Decoded settings of one daemon. */
export interface RouterSettings {
  readonly self: DaemonIdentity;
  readonly readyListener: Address;
  readonly directoryListener: Address;
  readonly metricsListener: Address;
  /** Addresses of some daemons, possibly out of date; only hosts are used. */
  readonly seeds: readonly Address[];
  /** Time from the stop signal until the process is killed, in milliseconds. */
  readonly stopGraceMs: number;
  readonly retryLimits: RetryLimits;
  /** Limits on hedged requests; hedging is off if absent. */
  readonly hedgeLimits?: HedgeLimits;
  /** If absent, requests to cold servers are not limited. */
  readonly coldLimits?: ColdLimits;
  /** Memory that the process may use, in bytes; unlimited if absent. */
  readonly memoryBytes?: number;
  /** Bandwidth of the host's link, in bytes a second; unknown if absent. */
  readonly linkBytesPerSecond?: number;
  /** File descriptors that the process may use; the system's limit if absent. */
  readonly maxDescriptors?: number;
}
