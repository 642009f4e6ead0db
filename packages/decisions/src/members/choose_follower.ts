import {hash32} from '@greengagecross/common';

/**
 * Number of daemons of a large fleet that follow the store's changes; the other
 * daemons receive the changes from these. Three, so that two may be lost, slow
 * or partitioned at the same time.
 */
const MAX_FOLLOWERS = 3;
/**
 * In fleets up to this size every daemon follows the store: this costs a few
 * more calls a second, and no daemon depends on its connections to the others.
 */
const SMALL_FLEET_DAEMONS = 6;
/** Number of daemons that write the state shared by all daemons. */
const MAX_WRITERS = 1;

/** A daemon that may be given a role towards the store. */
export interface StoreRoleCandidate {
  readonly id: string;
  /** Whether the store answered the last call; true before the first call. */
  readonly isStoreReached: boolean;
}

/**
 * Decides whether a daemon follows the store itself. The number of followers is
 * limited, since calls to the store would otherwise grow with the fleet.
 *
 * In a large fleet the first daemons in hash order follow, of those that the
 * store answers. A daemon that the store does not answer keeps trying.
 *
 * @param others other daemons whose last heartbeat is recent, without those
 *     that are leaving
 */
export function isStoreFollower(
  self: StoreRoleCandidate,
  others: readonly StoreRoleCandidate[],
): boolean {
  if (!self.isStoreReached || others.length < SMALL_FLEET_DAEMONS) return true;
  return isAmongFirst(self, others, MAX_FOLLOWERS);
}

/**
 * Decides whether a daemon writes the state shared by all daemons to the store.
 *
 * @param others other daemons whose last heartbeat is recent, without those
 *     that are leaving
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
