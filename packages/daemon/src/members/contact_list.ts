import {
  formatAddress,
  type Address,
  type Member,
  type SeededRandom,
} from '@greengagecross/common';

const MAX_LOST = 512;
const MAX_AT_ONCE = 5;

/** Addresses at which other daemons may be found. */
export interface ContactSources {
  /** Daemons on the platform's host list. */
  readonly listHosts: () => readonly Address[];
  /** Addresses from the settings. */
  readonly seeds: readonly Address[];
}

/**
 * Control addresses of daemons that are not known to be there: on the host
 * list, in the settings, suspected, or forgotten after a long silence.
 */
export class ContactList {
  private readonly lost = new Map<string, Address>();

  constructor(
    private readonly sources: ContactSources,
    private readonly selfAddress: Address,
    private readonly random: SeededRandom,
  ) {}

  /** Remembers the address of a member that was forgotten. */
  add(member: Member): void {
    this.lost.set(member.id, member.controlAddress);
    if (this.lost.size <= MAX_LOST) return;
    const [oldest] = this.lost.keys();
    if (oldest !== undefined) this.lost.delete(oldest);
  }

  /** Chooses addresses to try: one, or several where nobody is known yet. */
  choose(heard: readonly Member[], suspects: readonly Member[]): Address[] {
    const candidates = this.listUnknown(heard, suspects);
    if (candidates.length === 0) return [];
    const count = heard.length === 0 ? MAX_AT_ONCE : 1;
    if (candidates.length <= count) return candidates;
    const start = this.random.nextInt(candidates.length);
    return [...candidates, ...candidates].slice(start, start + count);
  }

  private listUnknown(
    heard: readonly Member[],
    suspects: readonly Member[],
  ): Address[] {
    for (const {id} of heard) this.lost.delete(id);
    const addresses = [
      ...this.sources.listHosts(),
      ...this.sources.seeds,
      ...suspects.map(member => member.controlAddress),
      ...this.lost.values(),
    ];
    const byText = new Map(addresses.map(a => [formatAddress(a), a]));
    byText.delete(formatAddress(this.selfAddress));
    for (const {controlAddress} of heard) {
      byText.delete(formatAddress(controlAddress));
    }
    return [...byText.values()];
  }
}
