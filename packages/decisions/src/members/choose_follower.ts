import {hash32} from '@greengagecross/common';

/**
 * Number of daemons that follow the store's changes in a fleet of more than 6;
 * the other daemons receive the changes from these. Three, so that two may be
 * lost, slow or partitioned at the same time.
 */
const MAX_FOLLOWERS = 3;
/**
 * In fleets up to this size every daemon follows the store: this costs a few
 * more store calls a second, and no daemon depends on its connections to the
 * others.
 */
const ALL_FOLLOW_DAEMONS = 6;
/** Number of daemons that write the state shared by all daemons. */
const MAX_WRITERS = 1;

/** A daemon that may follow the store's changes or write to the store. */
export interface StoreRoleCandidate {
  readonly id: string;
  /** Whether the last store call succeeded; true before the first one. */
  readonly isStoreReached: boolean;
}

/**
 * Decides whether a daemon follows the store itself. The number of followers is
 * limited, since store calls would otherwise grow with the fleet.
 *
 * In a fleet of more than 6 daemons the first daemons in hash order follow, of
 * those that the store answers. A daemon that the store does not answer keeps
 * trying.
 *
 * @param others the other daemons that are ready: that accept callers and whose
 *     last heartbeat is recent
 */
export function isStoreFollower(
  self: StoreRoleCandidate,
  others: readonly StoreRoleCandidate[],
): boolean {
  if (!self.isStoreReached || others.length < ALL_FOLLOW_DAEMONS) return true;
  return isAmongFirst(self, others, MAX_FOLLOWERS);
}

/**
 * Decides whether a daemon writes the state shared by all daemons to the store.
 *
 * @param others the other daemons that are ready: that accept callers and whose
 *     last heartbeat is recent
 */
export function isStoreWriter(
  self: StoreRoleCandidate,
  others: readonly StoreRoleCandidate[],
): boolean {
  return self.isStoreReached && isAmongFirst(self, others, MAX_WRITERS);
}

function isAmongFirst(
  self: StoreRoleCandidate,
  others: readonly StoreRoleCandidate[],
  count: number,
): boolean {
  const ownHash = hash32(self.id);
  const ahead = others.filter(
    other => other.isStoreReached && hash32(other.id) < ownHash,
  );
  return ahead.length < count;
}
