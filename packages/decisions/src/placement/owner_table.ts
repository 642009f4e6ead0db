import {hash32} from '@greengagecross/common';
import {
  findHighestScore,
  makeHashedIds,
  type HashedId,
} from './rendezvous_hash.js';

/**
 * Which daemon counts each engine's requests, agreed by rendezvous over one
 * list of live daemons; a new list needs a new table.
 */
export class OwnerTable {
  private readonly daemons: readonly HashedId[];
  private readonly owners = new Map<string, string | undefined>();

  constructor(liveDaemons: Iterable<string>) {
    this.daemons = makeHashedIds(liveDaemons);
  }

  /** Finds an engine's owner; undefined without live daemons. */
  find(engine: string): string | undefined {
    const known = this.owners.get(engine);
    if (known !== undefined) return known;
    const key = hash32(`owner\u0000${engine}`);
    const owner = findHighestScore(key, this.daemons);
    this.owners.set(engine, owner);
    return owner;
  }
}
