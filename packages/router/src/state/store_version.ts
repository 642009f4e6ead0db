/**
 * Version of the store's contents. The era increases when the store returns from
 * an older copy, after which revisions are assigned again.
 */
export interface StoreVersion {
  /** 0 in stores that report no era. */
  readonly era: number;
  readonly revision: number;
}

/** Version of a daemon that has read nothing yet. */
export const NO_STORE_VERSION: StoreVersion = {era: 0, revision: -1};

/** Compares two versions; negative if `a` is older, 0 if they are the same. */
export function compareStoreVersions(a: StoreVersion, b: StoreVersion): number {
  return a.era === b.era ? a.revision - b.revision : a.era - b.era;
}
