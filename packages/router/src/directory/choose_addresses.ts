import {hash32, type Address} from '@greengagecross/common';

/** Most addresses in one answer. */
export const MAX_ADDRESSES = 64;

/** A daemon that clients may connect to. */
export interface ReadyDaemon {
  readonly id: string;
  readonly availabilityZone: string;
  readonly callers: Address;
}

/**
 * Chooses the daemons that a client of an availability zone is told of.
 *
 * All of them when they fit: the client tries another one at once where one
 * fails. Of more than fit, those of its zone first, the rest by hash, so that
 * answers of different zones name different daemons.
 */
export function chooseAddresses(
  daemons: readonly ReadyDaemon[],
  availabilityZone: string,
): Address[] {
  if (daemons.length <= MAX_ADDRESSES) {
    return daemons.map(daemon => daemon.callers);
  }
  return daemons
    .map(daemon => ({
      daemon,
      isNear: daemon.availabilityZone === availabilityZone,
      hash: hash32(`${availabilityZone}\u0000${daemon.id}`),
    }))
    .sort((a, b) => Number(b.isNear) - Number(a.isNear) || a.hash - b.hash)
    .slice(0, MAX_ADDRESSES)
    .map(({daemon}) => daemon.callers);
}
