import type {SuspectEntry} from '@greengagecross/decisions';

const MAX_PEERS = 512;
const MAX_ENTRIES_A_PEER = 256;

/** What peers did not confirm to have been told, newest kept. */
export class UntoldSuspects {
  private readonly byPeer = new Map<string, Map<string, SuspectEntry>>();

  /** Adds what a peer did not confirm. */
  add(peer: string, entries: readonly SuspectEntry[]): void {
    const known = this.byPeer.get(peer) ?? new Map<string, SuspectEntry>();
    for (const entry of entries) {
      known.delete(entry.fingerprint);
      known.set(entry.fingerprint, entry);
    }
    removeOldest(known, MAX_ENTRIES_A_PEER);
    this.byPeer.set(peer, known);
    removeOldest(this.byPeer, MAX_PEERS);
  }

  /** Takes out all that a peer is still to be told. */
  take(peer: string): SuspectEntry[] {
    const entries = this.byPeer.get(peer);
    this.byPeer.delete(peer);
    return [...(entries?.values() ?? [])];
  }

  /** Counts the peers with something left to be told. */
  countPeers(): number {
    return this.byPeer.size;
  }
}

function removeOldest(map: Map<string, unknown>, most: number): void {
  for (const key of map.keys()) {
    if (map.size <= most) return;
    map.delete(key);
  }
}
