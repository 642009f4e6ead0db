import type {SuspectEntry} from '@greengagecross/decisions';

const MAX_PEERS = 512;
const MAX_ENTRIES_PER_PEER = 256;

/**
 * Entries that peers have not confirmed. Beyond MAX_ENTRIES_PER_PEER the oldest
 * entries of a peer are dropped, beyond MAX_PEERS all entries of the oldest
 * peers.
 */
export class UnconfirmedSuspects {
  private readonly byPeer = new Map<string, Map<string, SuspectEntry>>();

  /** Adds entries that a peer did not confirm. */
  add(peer: string, entries: readonly SuspectEntry[]): void {
    const unconfirmed =
      this.byPeer.get(peer) ?? new Map<string, SuspectEntry>();
    for (const entry of entries) {
      unconfirmed.delete(entry.fingerprint);
      unconfirmed.set(entry.fingerprint, entry);
    }
    removeOldest(unconfirmed, MAX_ENTRIES_PER_PEER);
    this.byPeer.set(peer, unconfirmed);
    removeOldest(this.byPeer, MAX_PEERS);
  }

  /** Removes and returns all entries that a peer has not confirmed. */
  take(peer: string): SuspectEntry[] {
    const entries = this.byPeer.get(peer);
    this.byPeer.delete(peer);
    return [...(entries?.values() ?? [])];
  }

  /** Counts the peers with unconfirmed entries. */
  countPeers(): number {
    return this.byPeer.size;
  }
}

function removeOldest(map: Map<string, unknown>, maxSize: number): void {
  for (const key of map.keys()) {
    if (map.size <= maxSize) return;
    map.delete(key);
  }
}
