import type {Service} from '@greengagecross/common';
import type {DaemonReading} from '../fleet/fleet_reader.js';

/** State of the fleet that `status` has read, before it is checked. */
export interface FleetView {
  readonly atMs: number;
  readonly readings: readonly DaemonReading[];
  /** Whether the platform's host list answered. */
  readonly isHostListUp: boolean;
  /** Revision in the table service: 0 for none, undefined if it is down. */
  readonly storeRevision: number | undefined;
  /** Services in force; empty if they could not be read. */
  readonly services: readonly Service[];
  /** Ids of hosts that the host list reports as leaving. */
  readonly leaving: readonly string[];
}
