import type {BackendServer, Service} from '@greengagecross/common';
import {EngineGroup} from '@greengagecross/decisions';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {ConfigurationView} from '../configuration/configuration_view.js';
import type {LeavingBackends} from '../leaving/leaving_backends.js';

/** Longest time until a lookup takes into account that a server is leaving. */
const REFRESH_INTERVAL_MS = 100;

/** A service and those of its backend servers that accept new work. */
export interface IndexedService {
  readonly service: Service;
  readonly group: EngineGroup;
}

/**
 * Indexes the configured services by name and by backend server, and the
 * backend servers by id. "Engine" here means any backend server, also a worker
 * (a server of a service without prompts). Times are in ms since the epoch.
 */
export class EngineIndex {
  private view: ConfigurationView | undefined;
  private refreshedAtMs = -Infinity;
  /** By service name. */
  private readonly byService = new Map<string, IndexedService>();
  /** By id of an engine or worker. */
  private readonly byEngine = new Map<string, IndexedService>();
  /** By backend server id. */
  private readonly servers = new Map<string, BackendServer>();

  constructor(
    private readonly configuration: ConfigurationFollower,
    private readonly leaving: LeavingBackends,
  ) {}

  /** Finds the service of an engine; undefined if none is configured. */
  findByEngine(engine: string, nowMs: number): IndexedService | undefined {
    this.update(nowMs);
    return this.byEngine.get(engine);
  }

  /** Finds a service by its name; undefined if it is not configured. */
  findByName(service: string, nowMs: number): IndexedService | undefined {
    this.update(nowMs);
    return this.byService.get(service);
  }

  /**
   * Finds a backend server by its id, as of the last lookup of a service;
   * undefined if it is not configured.
   */
  findServer(id: string): BackendServer | undefined {
    return this.servers.get(id);
  }

  private update(nowMs: number): void {
    const view = this.configuration.getView();
    const isFresh = nowMs - this.refreshedAtMs < REFRESH_INTERVAL_MS;
    if (view === this.view && isFresh) return;
    this.refreshedAtMs = nowMs;
    if (view !== this.view) {
      this.view = view;
      this.byService.clear();
      this.byEngine.clear();
      this.servers.clear();
    }
    for (const service of view?.listServices() ?? []) {
      this.updateService(service, nowMs);
    }
  }

  /**
   * Lists the servers of a service that accept new work.
   *
   * Leaving notices of the servers themselves are ignored if no server would
   * remain: a server that is back in service would otherwise get no work until
   * its notice expires, and a server that is still leaving refuses work itself.
   */
  private listAvailable(service: Service, nowMs: number): BackendServer[] {
    const staying = service.backendServers.filter(
      server => !this.leaving.isLeaving(server.id, nowMs),
    );
    if (staying.length > 0) return staying;
    return service.backendServers.filter(
      server => !this.leaving.isListed(server.id),
    );
  }

  /**
   * Replaces a service's group only if its servers changed, because data
   * computed from a group is cached per group object.
   */
  private updateService(service: Service, nowMs: number): void {
    const available = this.listAvailable(service, nowMs);
    const existing = this.byService.get(service.name);
    if (existing !== undefined && hasServers(existing.group, available)) return;
    const {name, placement} = service;
    const group = new EngineGroup(name, placement, available);
    const indexed = {service, group};
    this.byService.set(name, indexed);
    for (const server of service.backendServers) {
      this.byEngine.set(server.id, indexed);
      this.servers.set(server.id, server);
    }
  }
}

/** Returns whether a group has exactly these servers, in the same order. */
function hasServers(
  group: EngineGroup,
  available: readonly BackendServer[],
): boolean {
  return (
    group.ids.length === available.length &&
    available.every((server, index) => group.ids[index] === server.id)
  );
}
