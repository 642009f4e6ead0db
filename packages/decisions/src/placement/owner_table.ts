import {hash32} from '@greengagecross/common';
import {
  findHighestScore,
  makeHashedIds,
  type HashedId,
} from './rendezvous_hash.js';

/**
 * Assigns each engine an owner: the daemon that counts the engine's requests.
 * Daemons with the same list of live daemons agree on every owner by rendezvous
 * hashing. A table holds one list; a changed list needs a new table.
 */
export class OwnerTable {
  private readonly daemons: readonly HashedId[];
  private readonly owners = new Map<string, string | undefined>();

  constructor(liveDaemons: Iterable<string>) {
    this.daemons = makeHashedIds(liveDaemons);
  }

  /** Finds an engine's owner; undefined if there are no live daemons. */
  find(engine: string): string | undefined {
    const cached = this.owners.get(engine);
    if (cached !== undefined) return cached;
    const key = hash32(`owner\u0000${engine}`);
    const owner = findHighestScore(key, this.daemons);
    this.owners.set(engine, owner);
    return owner;
  }
}
