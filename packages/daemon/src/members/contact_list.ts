import {
  formatAddress,
  type Address,
  type Member,
  type SeededRandom,
} from '@greengagecross/common';

/** Most addresses of removed members that are kept. */
const MAX_REMOVED_ADDRESSES = 512;
/** Most addresses to try at once while no daemon is reachable. */
const MAX_CONTACTS = 5;

/** Control addresses at which other daemons may listen. */
export interface ContactAddresses {
  /** Lists the control addresses of the daemons on the host list. */
  readonly listHostAddresses: () => readonly Address[];
  /** Addresses from the settings. */
  readonly seeds: readonly Address[];
}

/**
 * Chooses control addresses to contact among those at which no reachable member
 * listens: addresses from the host list and the settings, of suspected daemons,
 * and of members that were removed after a long time as suspected daemons.
 */
export class ContactList {
  /** By id of the removed member, oldest first. */
  private readonly removedAddresses = new Map<string, Address>();

  constructor(
    private readonly contactAddresses: ContactAddresses,
    private readonly selfAddress: Address,
    private readonly random: SeededRandom,
  ) {}

  /** Adds the address of a member that was removed from the member table. */
  addRemoved(member: Member): void {
    this.removedAddresses.set(member.id, member.controlAddress);
    if (this.removedAddresses.size <= MAX_REMOVED_ADDRESSES) return;
    const [oldest] = this.removedAddresses.keys();
    if (oldest !== undefined) this.removedAddresses.delete(oldest);
  }

  /** Chooses up to 5 addresses if no member is reachable, else up to 1. */
  choose(reachable: readonly Member[], suspects: readonly Member[]): Address[] {
    const candidates = this.listUnreached(reachable, suspects);
    if (candidates.length === 0) return [];
    const count = reachable.length === 0 ? MAX_CONTACTS : 1;
    if (candidates.length <= count) return candidates;
    const start = this.random.nextInt(candidates.length);
    return [...candidates, ...candidates].slice(start, start + count);
  }

  private listUnreached(
    reachable: readonly Member[],
    suspects: readonly Member[],
  ): Address[] {
    for (const {id} of reachable) this.removedAddresses.delete(id);
    const addresses = [
      ...this.contactAddresses.listHostAddresses(),
      ...this.contactAddresses.seeds,
      ...suspects.map(member => member.controlAddress),
      ...this.removedAddresses.values(),
    ];
    const byText = new Map(addresses.map(a => [formatAddress(a), a]));
    byText.delete(formatAddress(this.selfAddress));
    for (const {controlAddress} of reachable) {
      byText.delete(formatAddress(controlAddress));
    }
    return [...byText.values()];
  }
}
