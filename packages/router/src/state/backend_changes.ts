import type {BackendServer} from '../model/backend_server.js';
import type {StoreVersion} from './store_version.js';

/**
 * Version of the store that a list of backend servers corresponds to; the list
 * includes every change up to it.
 */
export interface ListVersion extends StoreVersion {
  /** Revision of the newest change, of the same era, in the list. */
  readonly changeRevision: number;
}

/** One change of the list; changes of one entry are applied in order. */
export interface EntryChange {
  readonly id: string;
  /** Undefined when the entry was removed. */
  readonly server: BackendServer | undefined;
}

/** Changes of a list since a version, for a daemon with an older list. */
export interface BackendChanges extends ListVersion {
  readonly changed: readonly BackendServer[];
  /** Ids of removed servers. */
  readonly removed: readonly string[];
  /**
   * Ids of servers with expired entries (see `BackendRegistry`), whatever the
   * revision; the servers may register again soon. Messages say `lapsed`.
   */
  readonly lapsed: readonly string[];
}
