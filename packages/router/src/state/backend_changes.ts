import type {BackendServer} from '../model/backend_server.js';

/** Versions of the store's counter that a list stands for. */
export interface ListVersion {
  /** Every change up to this one is in the list. */
  readonly revision: number;
  /** The newest change in the list itself. */
  readonly changeRevision: number;
}

/** One change of the list; several of one entry count in their order. */
export interface EntryChange {
  readonly id: string;
  /** Undefined when the entry was removed. */
  readonly server: BackendServer | undefined;
}

/** What changed in a list since a version, for a daemon that is behind. */
export interface BackendChanges extends ListVersion {
  readonly changed: readonly BackendServer[];
  readonly removed: readonly string[];
  /** Removed while the store was away: they may be back soon. */
  readonly lapsed: readonly string[];
}
