import {hash32, type Address} from '@greengagecross/common';

/** Maximum number of addresses in one directory answer. */
export const MAX_ADDRESSES = 64;

/** A daemon that accepts connections from new clients. */
export interface ReadyDaemon {
  readonly id: string;
  readonly availabilityZone: string;
  /** Address for client connections. */
  readonly callers: Address;
}

/**
 * Chooses the addresses in the directory answer for an availability zone.
 *
 * Up to MAX_ADDRESSES daemons are all listed: a client whose connection fails
 * tries the next address immediately. Of more daemons, those of the client's
 * zone come first and the others follow in the order of a hash, so that answers
 * for different zones list different daemons.
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
      isSameZone: daemon.availabilityZone === availabilityZone,
      hash: hash32(`${availabilityZone}\u0000${daemon.id}`),
    }))
    .sort(
      (a, b) => Number(b.isSameZone) - Number(a.isSameZone) || a.hash - b.hash,
    )
    .slice(0, MAX_ADDRESSES)
    .map(({daemon}) => daemon.callers);
}
