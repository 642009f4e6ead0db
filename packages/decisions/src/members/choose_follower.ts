import {hash32} from '@greengagecross/common';

/**
 * Daemons of a large fleet that follow the store's changes; the others hear
 * from them. Three, so that two may be lost, slow or cut off at the same time.
 */
const FOLLOWERS = 3;
/**
 * Fleets up to this size follow the store with every daemon: a few calls a
 * second more, and no daemon depends on its paths to the others.
 */
const SMALL_FLEET = 6;
/** The one that writes what all know alike. */
const WRITERS = 1;

/** What a daemon is known to be able to do. */
export interface FollowerCandidate {
  readonly id: string;
  /** Whether the store answered it last, as far as it tried. */
  readonly isStoreReached: boolean;
}

/**
 * Decides whether a daemon follows the store itself, for fleets whose calls
 * would otherwise grow with the number of daemons.
 *
 * In a large fleet those first in hash order follow, as far as the store
 * answers them. A daemon that the store does not answer goes on trying.
 *
 * @param others daemons heard within the last heartbeats, leaving ones left out
 */
export function isFollower(
  self: FollowerCandidate,
  others: readonly FollowerCandidate[],
): boolean {
  if (!self.isStoreReached || others.length < SMALL_FLEET) return true;
  return isAmongFirst(self, others, FOLLOWERS);
}

/** Decides whether a daemon writes to the store what all of them know alike. */
export function isWriter(
  self: FollowerCandidate,
  others: readonly FollowerCandidate[],
): boolean {
  return self.isStoreReached && isAmongFirst(self, others, WRITERS);
}

function isAmongFirst(
  self: FollowerCandidate,
  others: readonly FollowerCandidate[],
  most: number,
): boolean {
  const own = hash32(self.id);
  const ahead = others.filter(
    other => other.isStoreReached && hash32(other.id) < own,
  );
  return ahead.length < most;
}
