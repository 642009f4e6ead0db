import type {Service} from '@greengagecross/common';
import type {DaemonReading} from '../fleet/fleet_reader.js';

/** What `status` has read, before it is judged. */
export interface FleetView {
  readonly atMs: number;
  readonly readings: readonly DaemonReading[];
  /** Whether the platform's host list answered. */
  readonly isHostListUp: boolean;
  /** Revision that the table service shows; undefined when it is down. */
  readonly storeRevision: number | undefined;
  /** Services in force, empty when they could not be read. */
  readonly services: readonly Service[];
  /** Backend servers that the host list shows as leaving. */
  readonly leaving: readonly string[];
}
