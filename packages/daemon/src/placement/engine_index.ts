import type {BackendServer, Service} from '@greengagecross/common';
import {EngineGroup} from '@greengagecross/decisions';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {ConfigurationView} from '../configuration/configuration_view.js';
import type {LeavingBackends} from '../leaving/leaving_backends.js';

const REFRESH_MS = 100;

/** A service with those of its backend servers that take new work. */
export interface IndexedService {
  readonly service: Service;
  readonly group: EngineGroup;
}

/** Finds services and backend servers by id, without searching lists. */
export class EngineIndex {
  private view: ConfigurationView | undefined;
  private refreshedAtMs = -Infinity;
  private readonly byService = new Map<string, IndexedService>();
  private readonly byEngine = new Map<string, IndexedService>();
  private readonly servers = new Map<string, BackendServer>();

  constructor(
    private readonly configuration: ConfigurationFollower,
    private readonly leaving: LeavingBackends,
  ) {}

  /** Finds the service that an engine belongs to. */
  findByEngine(engine: string, nowMs: number): IndexedService | undefined {
    this.update(nowMs);
    return this.byEngine.get(engine);
  }

  /** Finds a service by its name. */
  findByName(service: string, nowMs: number): IndexedService | undefined {
    this.update(nowMs);
    return this.byService.get(service);
  }

  /** Finds a backend server by its id. */
  findServer(id: string): BackendServer | undefined {
    return this.servers.get(id);
  }

  private update(nowMs: number): void {
    const view = this.configuration.getView();
    const isFresh = nowMs - this.refreshedAtMs < REFRESH_MS;
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
   * Lists the servers that take new work.
   *
   * Servers' own words never empty a service: one that came back since would
   * otherwise be refused until its word ends, and one that still leaves
   * refuses by itself.
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

  /** Keeps a group, with what is memoised for it, while it has not changed. */
  private updateService(service: Service, nowMs: number): void {
    const available = this.listAvailable(service, nowMs);
    const known = this.byService.get(service.name);
    if (known !== undefined && isSame(known.group, available)) return;
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

function isSame(
  group: EngineGroup,
  available: readonly BackendServer[],
): boolean {
  return (
    group.ids.length === available.length &&
    available.every((server, index) => group.ids[index] === server.id)
  );
}
