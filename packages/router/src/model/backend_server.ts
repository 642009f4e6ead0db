import type {Address} from '@greengagecross/common';
import type {ColdReport} from '@greengagecross/decisions';

/** Registration of one backend server, as the server wrote it to the store. */
export interface BackendServer {
  readonly id: string;
  readonly service: string;
  readonly address: Address;
  readonly availabilityZone: string;
  /** Maximum number of requests that the server runs concurrently. */
  readonly slots: number;
  /**
   * Whether the server is shutting down and accepts no new requests until it has
   * restarted. A drained engine of package decisions can be resumed instead.
   */
  readonly isDraining: boolean;
  /** Start time in milliseconds since the epoch; 0 when not reported. */
  readonly startedAtMs: number;
  /** Absent if the entry has no valid cold time. */
  readonly coldReport?: ColdReport;
}
