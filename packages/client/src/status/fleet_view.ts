import type {Service} from '@greengagecross/common';
import type {DaemonReading} from '../fleet/fleet_reader.js';

/** State of the fleet that `status` has read, before it is checked. */
export interface FleetView {
  /** Time of the check, ms since the epoch. */
  readonly atMs: number;
  readonly readings: readonly DaemonReading[];
  /** Whether the platform's host list replied to this client. */
  readonly isHostListUp: boolean;
  /**
   * Current revision: 0 for none, undefined if the table service does not reply
   * to this client.
   */
  readonly storeRevision: number | undefined;
  /** Services in force; empty without a revision or if they cannot be read. */
  readonly services: readonly Service[];
  /** Ids of hosts that the host list reports as leaving. */
  readonly leaving: readonly string[];
}
