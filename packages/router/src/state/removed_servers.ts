import type {BackendServer} from '../model/backend_server.js';
import type {StoreVersion} from './store_version.js';

/** Maximum number of removals kept. */
const MAX_REMOVALS = 2000;

interface Removal {
  /** Revision of the list at the removal, or at the start of a later era. */
  revision: number;
  readonly era: number;
  readonly startedAtMs: number;
  readonly wasDraining: boolean;
}

/**
 * Backend servers that left the list, for daemons with an older list and for a
 * store that returns from an older copy; the oldest removals are forgotten.
 */
export class RemovedServers {
  private readonly removals = new Map<string, Removal>();

  /** Records the removal of a server. */
  record(server: BackendServer, {era, revision}: StoreVersion): void {
    const {id, startedAtMs, isDraining: wasDraining} = server;
    this.removals.delete(id);
    this.removals.set(id, {revision, era, startedAtMs, wasDraining});
    if (this.removals.size <= MAX_REMOVALS) return;
    const oldest = this.removals.keys().next().value;
    if (oldest !== undefined) this.removals.delete(oldest);
  }

  /** Forgets the removal of a server that is listed again. */
  remove(id: string): void {
    this.removals.delete(id);
  }

  /** Lists the ids of servers removed after a revision. */
  listSince(revision: number): string[] {
    return [...this.removals]
      .filter(([, removal]) => removal.revision > revision)
      .map(([id]) => id);
  }

  /** Counts all removals as made at the first revision of a new era. */
  startEra(revision: number): void {
    for (const removal of this.removals.values()) removal.revision = revision;
  }

  /**
   * Returns whether an entry describes a server that ended in an earlier era: an
   * incarnation that was draining when it was removed, or one before it.
   */
  hasEnded({id, startedAtMs}: BackendServer, era: number): boolean {
    const removal = this.removals.get(id);
    if (removal === undefined || removal.era >= era) return false;
    if (startedAtMs < removal.startedAtMs) return true;
    const isKnown = startedAtMs > 0 && startedAtMs === removal.startedAtMs;
    return isKnown && removal.wasDraining;
  }
}
