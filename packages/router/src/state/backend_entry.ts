import type {BackendServer} from '../model/backend_server.js';

/** An entry of the list of backend servers. */
export interface BackendEntry {
  readonly server: BackendServer;
  /** Store revision of the list when the entry last changed in this era. */
  revision: number;
  /** When an expired entry is removed; undefined while it is registered. */
  removeAtMs?: number;
}
