import {Logger} from '@greengagecross/common';
import type {BackendServer} from '../model/backend_server.js';
import type {BackendEntry} from './backend_entry.js';
import type {
  BackendChanges,
  EntryChange,
  ListVersion,
} from './backend_changes.js';
import {
  isColdTimeUpdate,
  isOutdated,
  isSameServer,
  keepColdReport,
} from './compare_servers.js';
import {EXPIRED_GRACE_MS, ExpiryGrace} from './expiry_grace.js';
import {listReadyByService} from './list_ready_by_service.js';
import {logNewEra} from './log_new_era.js';
import {RemovedServers} from './removed_servers.js';
import {
  compareStoreVersions,
  NO_STORE_VERSION,
  type StoreVersion,
} from './store_version.js';

const logger = new Logger('backends');

/**
 * Backend servers of all services, from the store or from peers. The list is
 * confirmed whenever an update arrives, and whenever the store, or a peer that
 * reaches the store, holds nothing newer. `nowMs` is on the monotonic clock.
 */
export class BackendRegistry {
  private entries = new Map<string, BackendEntry>();
  private readonly removed = new RemovedServers();
  private byService = new Map<string, BackendServer[]>();
  private version: ListVersion = {...NO_STORE_VERSION, changeRevision: -1};
  private confirmedAtMs = 0;
  private readonly grace = new ExpiryGrace();

  /**
   * Replaces the complete list; a list of an older version is ignored.
   *
   * @return whether the list is of a newer version than the current one
   */
  setAll(
    servers: readonly BackendServer[],
    version: ListVersion,
    nowMs: number,
  ): boolean {
    const order = compareStoreVersions(version, this.version);
    if (order < 0) return false;
    this.confirmedAtMs = nowMs;
    const listed = new Set(servers.map(server => server.id));
    const missing = [...this.entries.keys()].filter(id => !listed.has(id));
    // A removal has no row whose revision would tell peers of the change.
    const isReduced = missing.length > 0;
    const newest = isReduced ? version.revision : version.changeRevision;
    this.setVersion({...version, changeRevision: newest}, nowMs);
    for (const id of missing) this.removeEntry(id, nowMs);
    for (const server of servers) this.putEntry(server);
    this.updateIndex();
    return order > 0;
  }

  /**
   * Applies changes up to a store version, in order; changes up to a version
   * that the list already includes are not applied.
   */
  applyChanges(
    changes: readonly EntryChange[],
    version: ListVersion,
    nowMs: number,
  ): void {
    this.confirmedAtMs = nowMs;
    if (compareStoreVersions(version, this.version) <= 0) return;
    const isColdTimeOnly = changes.every(({id, server}) =>
      isColdTimeUpdate(this.entries.get(id)?.server, server),
    );
    const newest = isColdTimeOnly ? -1 : version.changeRevision;
    this.setVersion({...version, changeRevision: newest}, nowMs);
    if (changes.length === 0) return;
    for (const {id, server} of changes) {
      if (server === undefined) this.removeEntry(id, nowMs);
      else this.putEntry(server);
    }
    this.updateIndex();
  }

  /**
   * Applies a peer's changes; starts the grace of entries listed as expired. The
   * changes of a peer with a higher era are its complete list.
   */
  applyPeerChanges(changes: BackendChanges, nowMs: number): void {
    if (compareStoreVersions(changes, this.version) <= 0) return;
    const entries = [
      ...changes.removed.map(id => ({id, server: undefined})),
      ...changes.changed.map(server => ({id: server.id, server})),
    ];
    if (changes.era > this.version.era) {
      this.setAll(changes.changed, changes, nowMs);
    } else {
      this.applyChanges(entries, changes, nowMs);
    }
    const endMs = nowMs + EXPIRED_GRACE_MS;
    for (const id of changes.lapsed) this.setExpired(id, endMs);
  }

  /**
   * Lists changes after a version, and all expired ids. Lists every entry for a
   * version of another era or with revision -1.
   */
  listChanges(since: StoreVersion): BackendChanges {
    const isSameEra = since.era === this.version.era;
    const sinceRevision = isSameEra ? since.revision : -1;
    const changed: BackendServer[] = [];
    const lapsed: string[] = [];
    for (const [id, entry] of this.entries) {
      if (entry.removeAtMs !== undefined) lapsed.push(id);
      if (entry.revision > sinceRevision) changed.push(entry.server);
    }
    const removed = this.removed.listSince(sinceRevision);
    return {...this.version, changed, removed, lapsed};
  }

  /** Records that the store is unreachable. */
  setStoreUnreachable(): void {
    this.grace.setUnreachable();
  }

  /** Records that the store is reachable; after an outage, restarts all grace. */
  setStoreReachable(nowMs: number): void {
    if (this.grace.setReachable(nowMs)) this.renewGrace(nowMs);
  }

  /** Removes expired entries whose grace period has elapsed. */
  removeExpired(nowMs: number): void {
    let isChanged = false;
    for (const [id, entry] of this.entries) {
      if (entry.removeAtMs === undefined || entry.removeAtMs > nowMs) continue;
      this.removeImmediately(entry.server);
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
    return this.version.revision;
  }

  /** Returns the version of the list; revision -1 before the first list. */
  getVersion(): ListVersion {
    return this.version;
  }

  /** Records a confirmation of the list. */
  recordConfirmed(nowMs: number): void {
    this.confirmedAtMs = nowMs;
  }

  /** Computes the time since the last confirmation, in milliseconds. */
  computeAgeMs(nowMs: number): number {
    return Math.round(nowMs - this.confirmedAtMs);
  }

  private setVersion(version: ListVersion, nowMs: number): void {
    const {era, revision} = version;
    const before = this.version;
    const isSameEra = era === before.era;
    const changeRevision = isSameEra
      ? Math.max(before.changeRevision, version.changeRevision)
      : version.changeRevision;
    this.version = {era, revision, changeRevision};
    if (isSameEra || before.revision < 0) return;
    logNewEra(version, before);
    for (const entry of this.entries.values()) entry.revision = revision;
    this.removed.startEra(revision);
    this.grace.start(nowMs);
    this.renewGrace(nowMs);
  }

  private renewGrace(nowMs: number): void {
    for (const entry of this.entries.values()) {
      if (entry.removeAtMs === undefined) continue;
      entry.removeAtMs = this.grace.computeEndMs(nowMs);
    }
  }

  private putEntry(given: BackendServer): void {
    const hasEnded = this.removed.hasEnded(given, this.version.era);
    const server = hasEnded ? {...given, isDraining: true} : given;
    const current = this.entries.get(server.id)?.server;
    if (current !== undefined && isOutdated(server, current)) return;
    if (current?.isDraining !== server.isDraining) {
      logger.log('A backend server was added or its draining state changed.', {
        id: server.id,
        draining: server.isDraining,
        revision: this.version.revision,
      });
    }
    const isUnchanged = current !== undefined && isSameServer(current, server);
    const revision = isUnchanged
      ? (this.entries.get(server.id)?.revision ?? this.version.revision)
      : this.version.revision;
    this.entries.set(server.id, {
      server: keepColdReport(server, current),
      revision,
    });
    this.removed.remove(server.id);
  }

  private removeEntry(id: string, nowMs: number): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    const isExpiry = this.grace.isActive(nowMs) && !entry.server.isDraining;
    logger.log('A backend server is no longer registered.', {
      id,
      kept: isExpiry,
      revision: this.version.revision,
    });
    if (!isExpiry) {
      this.removeImmediately(entry.server);
      return;
    }
    this.setExpired(id, this.grace.computeEndMs(nowMs));
  }

  private setExpired(id: string, endMs: number): void {
    const entry = this.entries.get(id);
    if (entry) entry.removeAtMs ??= endMs;
  }

  private removeImmediately(server: BackendServer): void {
    this.entries.delete(server.id);
    this.removed.record(server, this.version);
  }

  private updateIndex(): void {
    const servers = [...this.entries.values()].map(({server}) => server);
    this.byService = listReadyByService(servers);
  }
}
