import {readNowMs, readSteadyMs} from '@greengagecross/common';
import {
  ColdServerLimit,
  ColdServerStates,
  type ColdBound,
} from '@greengagecross/decisions';
import {DaemonState} from '../members/heartbeat.js';
import type {MemberView} from '../members/member_view.js';
import type {RouterMetrics} from '../metrics/router_metrics.js';
import type {BackendServer} from '../model/backend_server.js';
import type {ColdLimits, ColdService} from '../model/cold_limits.js';
import type {FleetState} from '../state/fleet_state.js';
import type {CallJob} from './call_job.js';
import {ColdServerLog} from './cold_server_log.js';

/** Longest time over which the clients that were turned away return. */
const MAX_RETURN_SPREAD_MS = 2000;
/** Maximum age of the members that decide on the senders. */
const MEMBERS_MAX_AGE_MS = 100;

/**
 * Holds back requests to cold servers. Does nothing for a service without a
 * bound in the configuration, or without limits in this daemon's settings.
 *
 * Each `nowMs` is a time on the monotonic clock.
 */
export class ColdServers {
  private readonly limit: ColdServerLimit;
  private readonly states = new ColdServerStates();
  private readonly log = new ColdServerLog();
  /** By service, the list of servers that was last recorded. */
  private readonly lists = new Map<string, readonly BackendServer[]>();
  private membersAtMs = Number.NEGATIVE_INFINITY;
  /** Availability zones of the recorded servers, and whether evacuated. */
  private readonly zones = new Map<string, boolean>();

  /** @param isEvacuated whether an availability zone gets no requests now */
  constructor(
    selfId: string,
    private limits: ColdLimits | undefined,
    private readonly state: FleetState,
    private readonly members: MemberView,
    private readonly metrics: RouterMetrics,
    private readonly isEvacuated: (zone: string, nowMs: number) => boolean,
  ) {
    this.limit = new ColdServerLimit(selfId);
  }

  /** Replaces the limits of the settings; undefined for no bound. */
  setLimits(limits: ColdLimits | undefined): void {
    this.limits = limits;
  }

  /** Applies changes of servers and members; to be called several times a second. */
  update(): void {
    const nowMs = readSteadyMs();
    const services = this.listBoundServices();
    if (services.length === 0) {
      this.lists.clear();
      this.zones.clear();
      this.states.removeAllBut(new Set());
    }
    for (const service of services) {
      const bound = this.updateService(service, nowMs);
      if (bound === undefined) continue;
      for (const {id} of this.state.backends.listReady(service)) {
        if (this.states.isCold(id, nowMs)) this.limit.update(id, bound, nowMs);
        else this.limit.remove(id);
      }
    }
    this.states.removeAllBut(this.state.backends.listIds());
    const cold = this.states.listCold(nowMs);
    this.log.update(cold, this.limit.countMembers(), nowMs);
  }

  /** Keeps the servers that may get a request now. */
  keepAvailable(
    service: string,
    servers: readonly BackendServer[],
    nowMs: number,
  ): readonly BackendServer[] {
    const bound = this.updateService(service, nowMs);
    if (bound === undefined) return servers;
    return servers.filter(
      ({id}) =>
        !this.states.isCold(id, nowMs) ||
        this.limit.isAvailable(id, bound, nowMs),
    );
  }

  /**
   * Records the choice for a request: takes the token of a cold server, and
   * describes the decision if it was affected by cold servers.
   *
   * @param heldBack number of cold servers that were not available
   * @param server the chosen server; undefined if there is none
   */
  recordChoice(
    {service, trace}: CallJob,
    heldBack: number,
    server: BackendServer | undefined,
    nowMs: number,
  ): void {
    const bound = this.getBound(service);
    if (bound === undefined) return;
    const isCold = server !== undefined && this.states.isCold(server.id, nowMs);
    if (isCold) {
      this.limit.take(server.id, bound, nowMs);
      this.metrics.recordColdRequest();
    }
    if (heldBack > 0) this.metrics.recordHeldBack(server !== undefined);
    if (!isCold && heldBack === 0) return;
    const members = this.limit.countMembers();
    trace.cold = `${isCold ? 'token taken, ' : ''}held back ${heldBack}, members ${members}`;
  }

  /**
   * Computes a retry delay, in milliseconds, if only cold servers without a
   * token are left; undefined otherwise. Clients return over the time in which a
   * server gains a token.
   *
   * @param servers the servers that are available but for the cold bound
   * @param spread number from 0 to 1 that differs between requests
   */
  computeRetryAfterMs(
    service: string,
    servers: readonly BackendServer[],
    spread: number,
    nowMs: number,
  ): number | undefined {
    const bound = this.updateService(service, nowMs);
    if (bound === undefined || servers.length === 0) return undefined;
    if (this.keepAvailable(service, servers, nowMs).length > 0) {
      return undefined;
    }
    const waitMs = Math.min(
      ...servers.map(({id}) => {
        const tokenMs = this.limit.computeWaitMs(id, bound, nowMs);
        return Math.min(tokenMs, this.states.computeRemainingMs(id, nowMs));
      }),
    );
    const intervalMs = this.limit.computeIntervalMs(bound);
    return waitMs + spread * Math.min(intervalMs, MAX_RETURN_SPREAD_MS);
  }

  /** Records that a server could not be reached by an attempt. */
  recordUnreachable(serverId: string, attemptStartMs: number): void {
    this.states.recordUnreachable(serverId, attemptStartMs, readSteadyMs());
  }

  /** Records that a server has replied. */
  recordReachable(serverId: string): void {
    this.states.recordReachable(serverId, readSteadyMs());
  }

  /** Returns whether a server counts as cold; never without a bound. */
  isCold(serverId: string, nowMs: number): boolean {
    return this.states.isCold(serverId, nowMs);
  }

  /** Counts the servers that are cold. */
  countCold(): number {
    return this.states.listCold(readSteadyMs()).length;
  }

  /** Returns the bound of a service, with its servers and members up to date. */
  private updateService(service: string, nowMs: number): ColdBound | undefined {
    const bound = this.getBound(service);
    if (bound === undefined || !this.state.isComplete()) return undefined;
    if (nowMs - this.membersAtMs > MEMBERS_MAX_AGE_MS) {
      this.membersAtMs = nowMs;
      const heard = this.members.listRunning(nowMs).map(({id, state}) => ({
        id,
        isLeaving: state === DaemonState.LEAVING,
      }));
      this.limit.updateMembers(heard, nowMs);
    }
    this.recordServers(service, nowMs);
    this.updateZones(nowMs);
    return bound;
  }

  /**
   * Records the servers of a service if its list has changed. The registry makes
   * a new array on each change, so that comparing identities is enough.
   */
  private recordServers(service: string, nowMs: number): void {
    const servers = this.state.backends.listReady(service);
    const before = this.lists.get(service);
    if (before === servers) return;
    this.lists.set(service, servers);
    const startMs = this.findColdService(service)?.startMs ?? 0;
    const times = {nowMs, epochMs: readNowMs()};
    for (const server of servers) {
      this.states.record(server, startMs, before === undefined, times);
      const {availabilityZone: zone} = server;
      if (!this.zones.has(zone)) {
        this.zones.set(zone, this.isEvacuated(zone, nowMs));
      }
    }
  }

  /** Records which evacuations have ended: their servers may have restarted. */
  private updateZones(nowMs: number): void {
    for (const [zone, wasEvacuated] of this.zones) {
      const isEvacuated = this.isEvacuated(zone, nowMs);
      if (isEvacuated === wasEvacuated) continue;
      this.zones.set(zone, isEvacuated);
      if (!isEvacuated) this.recordZoneReturned(zone, nowMs);
    }
  }

  private recordZoneReturned(zone: string, nowMs: number): void {
    for (const service of this.listBoundServices()) {
      for (const server of this.state.backends.listReady(service)) {
        if (server.availabilityZone !== zone) continue;
        this.states.recordZoneReturned(server.id, nowMs);
      }
    }
  }

  private getBound(service: string): ColdBound | undefined {
    const coldService = this.findColdService(service);
    if (this.limits === undefined || coldService === undefined) {
      return undefined;
    }
    return {
      ...this.limits,
      requestsPerSecond: coldService.requestsPerSecond,
    };
  }

  private findColdService(service: string): ColdService | undefined {
    const services =
      this.state.configuration.getView()?.configuration.coldServices ?? {};
    // A service may have the name of a property of every object.
    return Object.hasOwn(services, service) ? services[service] : undefined;
  }

  private listBoundServices(): string[] {
    if (this.limits === undefined) return [];
    const view = this.state.configuration.getView();
    return Object.keys(view?.configuration.coldServices ?? {});
  }
}
