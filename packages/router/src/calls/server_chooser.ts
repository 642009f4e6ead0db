import {hash32, readNowMs, readSteadyMs} from '@greengagecross/common';
import {
  chooseWorker,
  findSubject,
  PromptPlacement,
  type ServerHealth,
  type ServerLoad,
  type ServerNotices,
} from '@greengagecross/decisions';
import type {MemberView} from '../members/member_view.js';
import type {BackendServer} from '../model/backend_server.js';
import type {BackendRegistry} from '../state/backend_registry.js';
import type {EvacuatedZones} from '../state/evacuated_zones.js';
import type {EndedEnginesByService} from '../ports/ended_engines_store.js';
import type {CallJob} from './call_job.js';
import type {ColdServers} from './cold_servers.js';
import {RETRY_AFTER_MS} from './dispatch_limits.js';
import type {InFlightCounter} from './in_flight_counter.js';
import type {ServerChoice} from './server_choice.js';

const MAX_HASH = 0xffff_ffff;
/** Share of a pause over which the clients that it turned away return. */
const RETURN_SPREAD = 0.2;

/**
 * Chooses backend servers from local measurements and peer heartbeats: an engine
 * for a prompt, otherwise a worker. `nowMs` is a time on the monotonic clock,
 * `epochMs` one in milliseconds since the epoch.
 */
export class ServerChooser {
  private readonly placements = new Map<string, PromptPlacement>();
  /** By service, the server list that its placement was last updated with. */
  private readonly placementServers = new Map<
    string,
    readonly BackendServer[]
  >();

  constructor(
    private readonly availabilityZone: string,
    private readonly backends: BackendRegistry,
    private readonly health: ServerHealth,
    private readonly inFlight: InFlightCounter,
    private readonly members: MemberView,
    private readonly notices: ServerNotices,
    private readonly evacuated: EvacuatedZones,
    private readonly cold: ColdServers,
  ) {}

  /** Chooses a ready server that was not tried; undefined when none is left. */
  choose(job: CallJob, tried: ReadonlySet<string>): ServerChoice | undefined {
    const nowMs = readSteadyMs();
    const servers = this.listAvailable(job.service, nowMs).filter(
      ({id}) => !tried.has(id),
    );
    if (servers.length === 0) return undefined;
    const available = this.cold.keepAvailable(job.service, servers, nowMs);
    const choice = this.chooseFrom(job, available, nowMs);
    const heldBack = servers.length - available.length;
    this.cold.recordChoice(job, heldBack, choice?.server, nowMs);
    return choice;
  }

  /** Returns whether the server's availability zone is evacuated. */
  isEvacuated({availabilityZone}: BackendServer): boolean {
    return this.evacuated.has(availabilityZone, readSteadyMs());
  }

  /**
   * Returns whether a server that was chosen earlier may still be used without a
   * new choice: it is available, and needs no token of a cold server.
   */
  isStillUsable({service}: CallJob, {id}: BackendServer): boolean {
    const nowMs = readSteadyMs();
    return (
      this.listAvailable(service, nowMs).some(server => server.id === id) &&
      !this.cold.isCold(id, nowMs)
    );
  }

  /**
   * Returns whether a service has fewer servers than registered: one is cold, or
   * its availability zone is evacuated.
   */
  isReduced({service}: CallJob): boolean {
    const nowMs = readSteadyMs();
    return this.backends
      .listReady(service)
      .some(
        server =>
          this.isEvacuated(server) || this.cold.isCold(server.id, nowMs),
      );
  }

  /** Lists the loads of a service's available servers, tried ones included. */
  listLoads({service}: CallJob): ServerLoad[] {
    const nowMs = readSteadyMs();
    const servers = this.listAvailable(service, nowMs);
    const ids = servers.map(({id}) => id);
    const avoided = this.health.listAvoided(ids, nowMs);
    return this.makeLoads(servers, avoided, nowMs);
  }

  /**
   * Computes the retry delay of a request that no server ran, in milliseconds.
   * While all servers outside evacuated zones want a pause it is at least the time
   * until the first takes requests, longer by up to a fifth to spread clients, and
   * while those left are cold the time until one may get a request.
   */
  computeRetryAfterMs({service, call}: CallJob): number {
    const nowMs = readSteadyMs();
    const spread = hash32(call.id ?? '') / MAX_HASH;
    const coldMs = this.cold.computeRetryAfterMs(
      service,
      this.listAvailable(service, nowMs),
      spread,
      nowMs,
    );
    const servers = this.backends
      .listReady(service)
      .filter(server => !this.isEvacuated(server));
    const pauseMs = this.notices.computeWaitMs(servers, nowMs) ?? 0;
    const waitMs = coldMs ?? pauseMs * (1 + spread * RETURN_SPREAD);
    return Math.max(RETRY_AFTER_MS, Math.ceil(waitMs));
  }

  /**
   * Lists the engines that recently stopped accepting requests; services without
   * such engines are omitted.
   */
  listEnded(): EndedEnginesByService {
    return Object.fromEntries(
      [...this.placements]
        .map(
          ([service, placement]) => [service, placement.listEnded()] as const,
        )
        .filter(([, ended]) => ended.length > 0),
    );
  }

  /** Adds engines that stopped accepting requests before this daemon started. */
  addEnded(ended: EndedEnginesByService): void {
    for (const [service, engines] of Object.entries(ended)) {
      this.getPlacement(service).addEnded(engines);
    }
  }

  /** Records that a server is unreachable and its cached context is lost. */
  recordUnreachable(serverId: string, attemptStartMs: number): void {
    this.cold.recordUnreachable(serverId, attemptStartMs);
    for (const placement of this.placements.values()) {
      placement.recordCacheLost(serverId);
    }
  }

  /** Lists the servers of a service that requests may be sent to now. */
  private listAvailable(service: string, nowMs: number): BackendServer[] {
    return this.backends
      .listReady(service)
      .filter(
        server =>
          this.notices.isAvailable(server, nowMs) && !this.isEvacuated(server),
      );
  }

  private chooseFrom(
    job: CallJob,
    servers: readonly BackendServer[],
    nowMs: number,
  ): ServerChoice | undefined {
    if (servers.length === 0) return undefined;
    const ids = servers.map(server => server.id);
    const avoided = this.health.listAvoided(ids, nowMs);
    if (job.call.prompt.length > 0) {
      return this.chooseForPrompt(job, servers, avoided, nowMs);
    }
    const id = this.chooseWithoutPrompt(servers, avoided, nowMs);
    const server = servers.find(candidate => candidate.id === id);
    return server === undefined ? undefined : {server};
  }

  private chooseForPrompt(
    job: CallJob,
    servers: readonly BackendServer[],
    avoided: ReadonlySet<string>,
    nowMs: number,
  ): ServerChoice | undefined {
    const epochMs = readNowMs();
    this.updateEngines(job.service, epochMs);
    const choice = this.getPlacement(job.service).choose(
      job.call.prompt,
      servers.map(({id}) => ({
        id,
        inFlight: this.countInFlight(id, nowMs),
        isAvoided: avoided.has(id),
      })),
      epochMs,
    );
    const server = servers.find(({id}) => id === choice?.engineId);
    if (choice === undefined || server === undefined) return undefined;
    const {reason, rank, inFlight, bound, cacheSourceId: sourceId} = choice;
    const source = this.findCacheSource(job, sourceId, nowMs);
    const subject = findSubject(job.call.prompt);
    job.trace.placement = `${reason} ${rank} load ${inFlight}/${bound.toFixed(1)} subject ${subject?.id}:${subject?.tokens}`;
    if (source === undefined) return {server};
    job.trace.placement += ` copied from ${source.id}`;
    return {server, cacheSource: source.address};
  }

  /**
   * Finds the engine to copy the cached context from; undefined when it was
   * tried for this request or is avoided because of recent failures.
   */
  private findCacheSource(
    job: CallJob,
    id: string | undefined,
    nowMs: number,
  ): BackendServer | undefined {
    if (id === undefined || job.trace.attempts.includes(id)) return undefined;
    const isAvoided = this.health.listAvoided([id], nowMs).has(id);
    return isAvoided ? undefined : this.backends.find(id);
  }

  private getPlacement(service: string): PromptPlacement {
    const existing = this.placements.get(service);
    if (existing !== undefined) return existing;
    const placement = new PromptPlacement();
    this.placements.set(service, placement);
    return placement;
  }

  /**
   * Updates the engines of a placement if the list has changed. The registry
   * makes a new array on each change, so that comparing identities is enough.
   */
  private updateEngines(service: string, epochMs: number): void {
    const servers = this.backends.listReady(service);
    if (this.placementServers.get(service) === servers) return;
    this.placementServers.set(service, servers);
    this.getPlacement(service).setEngines(servers, epochMs);
  }

  private chooseWithoutPrompt(
    servers: readonly BackendServer[],
    avoided: ReadonlySet<string>,
    nowMs: number,
  ): string | undefined {
    const workers = this.makeLoads(servers, avoided, nowMs);
    return chooseWorker(workers, this.availabilityZone)?.id;
  }

  private makeLoads(
    servers: readonly BackendServer[],
    avoided: ReadonlySet<string>,
    nowMs: number,
  ): ServerLoad[] {
    return servers.map(({id, availabilityZone, slots}) => ({
      id,
      availabilityZone,
      slots,
      inFlight: this.countInFlight(id, nowMs),
      latencyMs: this.health.getLatencyMs(id),
      failureShare: this.health.getFailureShare(id),
      isAvoided: avoided.has(id),
    }));
  }

  private countInFlight(serverId: string, nowMs: number): number {
    const own = this.inFlight.count(serverId);
    return own + this.members.countInFlight(serverId, nowMs);
  }
}
