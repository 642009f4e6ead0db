import {readSteadyMs} from '@greengagecross/common';
import {
  chooseWorker,
  PromptPlacement,
  type WorkerHealth,
} from '@greengagecross/decisions';
import type {MemberView} from '../members/member_view.js';
import type {BackendServer} from '../model/backend_server.js';
import type {BackendBook} from '../state/backend_book.js';
import type {CallJob} from './call_job.js';
import type {InFlight} from './in_flight.js';

/** Chooses a backend server by what this daemon knows and was told. */
export class ServerChooser {
  private readonly placement = new PromptPlacement();

  constructor(
    private readonly availabilityZone: string,
    private readonly backends: BackendBook,
    private readonly health: WorkerHealth,
    private readonly inFlight: InFlight,
    private readonly members: MemberView,
  ) {}

  /** Chooses a server that was not tried yet; undefined when there is none. */
  choose(job: CallJob, tried: ReadonlySet<string>): BackendServer | undefined {
    const servers = this.backends
      .listReady(job.service)
      .filter(server => !tried.has(server.id));
    if (servers.length === 0) return undefined;
    const nowMs = readSteadyMs();
    const ids = servers.map(server => server.id);
    const avoided = this.health.listAvoided(ids, nowMs);
    const id =
      job.call.prompt.length === 0
        ? this.chooseForCall(servers, avoided, nowMs)
        : this.chooseForPrompt(job, servers, avoided, nowMs);
    return servers.find(server => server.id === id);
  }

  private chooseForPrompt(
    job: CallJob,
    servers: readonly BackendServer[],
    avoided: ReadonlySet<string>,
    nowMs: number,
  ): string | undefined {
    const choice = this.placement.choose(
      job.call.prompt,
      servers.map(({id}) => ({
        id,
        inFlight: this.countInFlight(id, nowMs),
        isAvoided: avoided.has(id),
      })),
    );
    if (choice === undefined) return undefined;
    const {reason, rank, inFlight, bound} = choice;
    job.trace.placement = `${reason} ${rank} ${inFlight}/${bound.toFixed(1)}`;
    return choice.engineId;
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
