import {readNowMs, readSteadyMs} from '@greengagecross/common';
import {
  chooseWorker,
  findSubject,
  PromptPlacement,
  type WorkerHealth,
} from '@greengagecross/decisions';
import type {MemberView} from '../members/member_view.js';
import type {BackendServer} from '../model/backend_server.js';
import type {BackendBook} from '../state/backend_book.js';
import type {EndedByService} from '../ports/engine_ends_store.js';
import type {CallJob} from './call_job.js';
import type {InFlight} from './in_flight.js';
import type {ServerChoice} from './server_choice.js';

/** Chooses a backend server by what this daemon knows and was told. */
export class ServerChooser {
  private readonly placements = new Map<string, PromptPlacement>();
  /** By service, the list of servers that its placement knows. */
  private readonly known = new Map<string, readonly BackendServer[]>();

  constructor(
    private readonly availabilityZone: string,
    private readonly backends: BackendBook,
    private readonly health: WorkerHealth,
    private readonly inFlight: InFlight,
    private readonly members: MemberView,
  ) {}

  /** Chooses a server that was not tried yet; undefined when there is none. */
  choose(job: CallJob, tried: ReadonlySet<string>): ServerChoice | undefined {
    const servers = this.backends
      .listReady(job.service)
      .filter(server => !tried.has(server.id));
    if (servers.length === 0) return undefined;
    const nowMs = readSteadyMs();
    const ids = servers.map(server => server.id);
    const avoided = this.health.listAvoided(ids, nowMs);
    if (job.call.prompt.length > 0) {
      return this.chooseForPrompt(job, servers, avoided, nowMs);
    }
    const id = this.chooseForCall(servers, avoided, nowMs);
    const server = servers.find(candidate => candidate.id === id);
    return server === undefined ? undefined : {server};
  }

  /** Lists the engines that ended lately, by service. */
  listEnded(): EndedByService {
    return Object.fromEntries(
      [...this.placements]
        .map(
          ([service, placement]) => [service, placement.listEnded()] as const,
        )
        .filter(([, ended]) => ended.length > 0),
    );
  }

  /** Takes in ends that were seen before this daemon started. */
  addEnded(ended: EndedByService): void {
    for (const [service, engines] of Object.entries(ended)) {
      this.getPlacement(service).addEnded(engines);
    }
  }

  /** Forgets what a server had read: it is down. */
  recordDown(serverId: string): void {
    for (const placement of this.placements.values()) {
      placement.removeEngine(serverId);
    }
  }

  private chooseForPrompt(
    job: CallJob,
    servers: readonly BackendServer[],
    avoided: ReadonlySet<string>,
    nowMs: number,
  ): ServerChoice | undefined {
    const wallMs = readNowMs();
    this.updateEngines(job.service, wallMs);
    const choice = this.getPlacement(job.service).choose(
      job.call.prompt,
      servers.map(({id}) => ({
        id,
        inFlight: this.countInFlight(id, nowMs),
        isAvoided: avoided.has(id),
      })),
      wallMs,
    );
    const server = servers.find(({id}) => id === choice?.engineId);
    if (choice === undefined || server === undefined) return undefined;
    const {reason, rank, inFlight, bound, memorySourceId} = choice;
    const source = this.findMemorySource(job, memorySourceId, nowMs);
    const subject = findSubject(job.call.prompt);
    job.trace.placement = `${reason} ${rank} load ${inFlight}/${bound.toFixed(1)} subject ${subject?.id}:${subject?.tokens}`;
    if (source === undefined) return {server};
    job.trace.placement += ` copied from ${source.id}`;
    return {server, memorySource: source.address};
  }

  /** An engine that failed this request, or is not reached, is no source. */
  private findMemorySource(
    job: CallJob,
    id: string | undefined,
    nowMs: number,
  ): BackendServer | undefined {
    if (id === undefined || job.trace.attempts.includes(id)) return undefined;
    const isAvoided = this.health.listAvoided([id], nowMs).has(id);
    return isAvoided ? undefined : this.backends.find(id);
  }

  private getPlacement(service: string): PromptPlacement {
    const known = this.placements.get(service);
    if (known !== undefined) return known;
    const placement = new PromptPlacement();
    this.placements.set(service, placement);
    return placement;
  }

  /** The list is a new one whenever it changed. */
  private updateEngines(service: string, wallMs: number): void {
    const servers = this.backends.listReady(service);
    if (this.known.get(service) === servers) return;
    this.known.set(service, servers);
    this.getPlacement(service).setEngines(servers, wallMs);
  }

  private chooseForCall(
    servers: readonly BackendServer[],
    avoided: ReadonlySet<string>,
    nowMs: number,
  ): string | undefined {
    const workers = servers.map(({id, availabilityZone, slots}) => ({
      id,
      availabilityZone,
      slots,
      inFlight: this.countInFlight(id, nowMs),
      latencyMs: this.health.getLatencyMs(id),
      failureShare: this.health.getFailureShare(id),
      isAvoided: avoided.has(id),
    }));
    return chooseWorker(workers, this.availabilityZone)?.id;
  }

  private countInFlight(serverId: string, nowMs: number): number {
    const own = this.inFlight.count(serverId);
    return own + this.members.countInFlight(serverId, nowMs);
  }
}
