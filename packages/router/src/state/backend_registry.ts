import {Logger} from '@greengagecross/common';
import type {BackendServer} from '../model/backend_server.js';
import type {
  BackendChanges,
  EntryChange,
  ListVersion,
} from './backend_changes.js';
import {
  isColdTimeUpdate,
  isSameServer,
  keepColdReport,
} from './compare_servers.js';

/**
 * Time that an expired entry stays in use. An entry counts as expired if it was
 * removed during a store outage, or within this time after the outage, and the
 * server was not draining. The time begins at a removal during the outage and
 * again at the end of the outage: running servers register again within two
 * seconds.
 */
const EXPIRED_GRACE_MS = 2000;
/** Maximum number of removals kept for daemons with an older list. */
const MAX_REMEMBERED_REMOVALS = 2000;
const logger = new Logger('backends');

interface Entry {
  readonly server: BackendServer;
  /** Store revision of the list when the entry last changed. */
  readonly revision: number;
  /** When an expired entry is removed; undefined while it is registered. */
  removeAtMs?: number;
}

/**
 * Backend servers of all services, from the store or from peers. The list is
 * confirmed whenever an update arrives, and whenever the store, or a peer that
 * reaches the store, holds nothing newer. `nowMs` is on the monotonic clock.
 */
export class BackendRegistry {
  private entries = new Map<string, Entry>();
  /** Ids of removed servers with the list's revision at the removal. */
  private readonly removalRevisions = new Map<string, number>();
  private byService = new Map<string, BackendServer[]>();
  private revision = -1;
  private changeRevision = -1;
  private confirmedAtMs = 0;
  private storeUnreachableSinceMs: number | undefined;
  private storeReachableSinceMs = Number.NEGATIVE_INFINITY;

  /**
   * Replaces the complete list; a list of an older revision is ignored.
   *
   * @return whether the list is of a newer revision than the current one
   */
  setAll(
    servers: readonly BackendServer[],
    version: ListVersion,
    nowMs: number,
  ): boolean {
    if (version.revision < this.revision) return false;
    this.confirmedAtMs = nowMs;
    const isNewer = version.revision > this.revision;
    this.setVersion(version);
    const listed = new Set(servers.map(server => server.id));
    for (const id of [...this.entries.keys()]) {
      if (!listed.has(id)) this.removeEntry(id, nowMs);
    }
    for (const server of servers) this.putEntry(server);
    this.updateIndex();
    return isNewer;
  }

  /**
   * Applies changes up to a store revision, in order; changes up to a revision
   * that the list already includes are not applied.
   */
  applyChanges(
    changes: readonly EntryChange[],
    version: ListVersion,
    nowMs: number,
  ): void {
    this.confirmedAtMs = nowMs;
    if (version.revision <= this.revision) return;
    const isColdTimeOnly = changes.every(({id, server}) =>
      isColdTimeUpdate(this.entries.get(id)?.server, server),
    );
    const changeRevision = isColdTimeOnly ? -1 : version.changeRevision;
    this.setVersion({...version, changeRevision});
    if (changes.length === 0) return;
    for (const {id, server} of changes) {
      if (server === undefined) this.removeEntry(id, nowMs);
      else this.putEntry(server);
    }
    this.updateIndex();
  }

  /** Applies a peer's changes; starts the grace of entries listed as expired. */
  applyPeerChanges(changes: BackendChanges, nowMs: number): void {
    if (changes.revision <= this.revision) return;
    const entries = [
      ...changes.removed.map(id => ({id, server: undefined})),
      ...changes.changed.map(server => ({id: server.id, server})),
    ];
    this.applyChanges(entries, changes, nowMs);
    for (const id of changes.lapsed) this.setExpired(id, nowMs);
  }

  /** Lists changes after a revision (-1: every entry) and all expired ids. */
  listChanges(sinceRevision: number): BackendChanges {
    const changed: BackendServer[] = [];
    const lapsed: string[] = [];
    for (const [id, entry] of this.entries) {
      if (entry.removeAtMs !== undefined) lapsed.push(id);
      if (entry.revision > sinceRevision) changed.push(entry.server);
    }
    const removed = [...this.removalRevisions]
      .filter(([, revision]) => revision > sinceRevision)
      .map(([id]) => id);
    return {...this.getVersion(), changed, removed, lapsed};
  }

  /** Records that the store is unreachable. */
  setStoreUnreachable(nowMs: number): void {
    this.storeUnreachableSinceMs ??= nowMs;
  }

  /** Records that the store is reachable; after an outage, restarts all grace. */
  setStoreReachable(nowMs: number): void {
    if (this.storeUnreachableSinceMs === undefined) return;
    this.storeUnreachableSinceMs = undefined;
    this.storeReachableSinceMs = nowMs;
    for (const entry of this.entries.values()) {
      if (entry.removeAtMs !== undefined) {
        entry.removeAtMs = nowMs + EXPIRED_GRACE_MS;
      }
    }
  }

  /** Removes expired entries whose grace period has elapsed. */
  removeExpired(nowMs: number): void {
    let isChanged = false;
    for (const [id, entry] of this.entries) {
      if (entry.removeAtMs === undefined || entry.removeAtMs > nowMs) continue;
      this.removeImmediately(id);
      isChanged = true;
      logger.log('An expired backend server was removed.', {id});
    }
    if (isChanged) this.updateIndex();
  }

  /** Lists the servers of a service that accept new requests. */
  listReady(service: string): readonly BackendServer[] {
    return this.byService.get(service) ?? [];
  }

  /** Finds a server that accepts new requests; undefined otherwise. */
  findReady(id: string): BackendServer | undefined {
    const server = this.entries.get(id)?.server;
    return server === undefined || server.isDraining ? undefined : server;
  }

  /** Finds a server, including draining ones; undefined when unknown. */
  find(id: string): BackendServer | undefined {
    return this.entries.get(id)?.server;
  }

  /** Returns the ids of all servers, including expired and draining ones. */
  listIds(): Set<string> {
    return new Set(this.entries.keys());
  }

  /** Returns the store revision of the list; -1 before the first list. */
  getRevision(): number {
    return this.revision;
  }

  /** Returns both revisions of the list; -1 before the first list. */
  getVersion(): ListVersion {
    return {revision: this.revision, changeRevision: this.changeRevision};
  }

  /** Records a confirmation of the list. */
  recordConfirmed(nowMs: number): void {
    this.confirmedAtMs = nowMs;
  }

  /** Computes the time since the last confirmation, in milliseconds. */
  computeAgeMs(nowMs: number): number {
    return Math.round(nowMs - this.confirmedAtMs);
  }

  private setVersion(version: ListVersion): void {
    this.revision = version.revision;
    this.changeRevision = Math.max(this.changeRevision, version.changeRevision);
  }

  private putEntry(server: BackendServer): void {
    const current = this.entries.get(server.id)?.server;
    if (current !== undefined) {
      // Ignored: it was written by an earlier incarnation of the server.
      if (server.startedAtMs < current.startedAtMs) return;
      const isSameIncarnation = server.startedAtMs === current.startedAtMs;
      // A draining server accepts requests again only after a restart.
      if (isSameIncarnation && current.isDraining && !server.isDraining) return;
    }
    if (current?.isDraining !== server.isDraining) {
      logger.log('A backend server was added or its draining state changed.', {
        id: server.id,
        draining: server.isDraining,
        revision: this.revision,
      });
    }
    const isUnchanged = current !== undefined && isSameServer(current, server);
    const revision = isUnchanged
      ? (this.entries.get(server.id)?.revision ?? this.revision)
      : this.revision;
    this.entries.set(server.id, {
      server: keepColdReport(server, current),
      revision,
    });
    this.removalRevisions.delete(server.id);
  }

  private removeEntry(id: string, nowMs: number): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    const isExpiry =
      this.isOutageOrGracePeriod(nowMs) && !entry.server.isDraining;
    logger.log('A backend server is no longer registered.', {
      id,
      kept: isExpiry,
      revision: this.revision,
    });
    if (!isExpiry) {
      this.removeImmediately(id);
      return;
    }
    const isStoreUnreachable = this.storeUnreachableSinceMs !== undefined;
    this.setExpired(
      id,
      isStoreUnreachable ? nowMs : this.storeReachableSinceMs,
    );
  }

  private setExpired(id: string, sinceMs: number): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) entry.removeAtMs ??= sinceMs + EXPIRED_GRACE_MS;
  }

  private removeImmediately(id: string): void {
    this.entries.delete(id);
    this.removalRevisions.delete(id);
    this.removalRevisions.set(id, this.revision);
    if (this.removalRevisions.size <= MAX_REMEMBERED_REMOVALS) return;
    const oldest = this.removalRevisions.keys().next().value;
    if (oldest !== undefined) this.removalRevisions.delete(oldest);
  }

  private isOutageOrGracePeriod(nowMs: number): boolean {
    if (this.storeUnreachableSinceMs !== undefined) return true;
    return nowMs - this.storeReachableSinceMs < EXPIRED_GRACE_MS;
  }

  private updateIndex(): void {
    const byService = new Map<string, BackendServer[]>();
    for (const {server} of this.entries.values()) {
      if (server.isDraining) continue;
      const servers = byService.get(server.service) ?? [];
      servers.push(server);
      byService.set(server.service, servers);
    }
    this.byService = byService;
  }
}
