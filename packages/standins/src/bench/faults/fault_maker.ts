import {setTimeout as sleep} from 'node:timers/promises';
import type {BackendServer, SeededRandom} from '@greengagecross/common';
import type {StandinFaults} from '../../faults.js';
import type {Fleet} from '../../fleet/fleet.js';
import {StandinKind} from '../../standin_kind.js';
import {FaultKind} from './fault_kind.js';

const KINDS = Object.values(FaultKind);
const SLOW_MS = 400;
const LAG_MS = 5000;

/** Injects faults into a fleet and reverts each after its duration. */
export class FaultInjector {
  /** Number of faults injected so far, by kind. */
  readonly counts = new Map<FaultKind, number>();
  /** Processes and stand-ins (test doubles) with an active fault. */
  private readonly activeTargets = new Set<string>();

  constructor(
    private readonly fleet: Fleet,
    private readonly random: SeededRandom,
  ) {}

  /** Chooses the next fault with the seeded random numbers. */
  chooseKind(): FaultKind {
    return this.random.choose(KINDS) ?? FaultKind.DAEMON_KILLED;
  }

  /** Injects one fault; does nothing if its target has an active fault. */
  async run(kind: FaultKind, durationMs: number): Promise<void> {
    const target = this.chooseTarget(kind);
    if (target === undefined || this.activeTargets.has(target)) return;
    this.activeTargets.add(target);
    this.counts.set(kind, (this.counts.get(kind) ?? 0) + 1);
    await this.start(kind, target);
    await sleep(durationMs);
    await this.stop(kind, target);
    this.activeTargets.delete(target);
  }

  private chooseTarget(kind: FaultKind): string | undefined {
    const {daemons, engines, workers} = this.fleet.plan;
    if (kind.startsWith('daemon')) return this.random.choose(daemons)?.id;
    if (kind.startsWith('engine')) return this.random.choose(engines)?.id;
    if (kind.startsWith('worker')) return this.random.choose(workers)?.id;
    return 'platform';
  }

  private async start(kind: FaultKind, target: string): Promise<void> {
    const child = this.fleet.getChild(target);
    switch (kind) {
      case FaultKind.DAEMON_KILLED:
      case FaultKind.ENGINE_KILLED:
      case FaultKind.WORKER_KILLED:
        child.send('SIGKILL');
        await child.waitEnd();
        break;
      case FaultKind.DAEMON_FROZEN:
      case FaultKind.ENGINE_FROZEN:
      case FaultKind.WORKER_FROZEN:
        child.send('SIGSTOP');
        break;
      default:
        await this.setFaults(target, makeFaults(kind, true));
    }
  }

  private async stop(kind: FaultKind, target: string): Promise<void> {
    const {daemons, engines, workers} = this.fleet.plan;
    const daemon = daemons.find(d => d.id === target);
    const engine = engines.find(e => e.id === target);
    const worker = workers.find(w => w.id === target);
    switch (kind) {
      case FaultKind.DAEMON_KILLED:
        if (daemon !== undefined) await this.fleet.startDaemon(daemon);
        break;
      case FaultKind.ENGINE_KILLED:
      case FaultKind.WORKER_KILLED:
        if (engine !== undefined) {
          await this.fleet.startBackend(engine, StandinKind.ENGINE);
        }
        if (worker !== undefined) {
          await this.fleet.startBackend(worker, StandinKind.WORKER);
        }
        break;
      case FaultKind.DAEMON_FROZEN:
      case FaultKind.ENGINE_FROZEN:
      case FaultKind.WORKER_FROZEN:
        this.fleet.getChild(target).send('SIGCONT');
        break;
      default:
        await this.setFaults(target, makeFaults(kind, false));
    }
  }

  private async setFaults(
    target: string,
    faults: Partial<StandinFaults>,
  ): Promise<void> {
    if (target === 'platform') {
      await this.fleet.setPlatformFaults(faults);
      return;
    }
    const {engines, workers} = this.fleet.plan;
    const server: BackendServer | undefined = [...engines, ...workers].find(
      each => each.id === target,
    );
    if (server !== undefined) await this.fleet.setBackendFaults(server, faults);
  }
}

function makeFaults(kind: FaultKind, isOn: boolean): Partial<StandinFaults> {
  switch (kind) {
    case FaultKind.ENGINE_SILENT:
      return {silentOpen: isOn};
    case FaultKind.WORKER_REPLIES_LOST:
      return {loseReplies: isOn};
    case FaultKind.WORKER_LEAVING:
      return {leaving: isOn};
    case FaultKind.PLATFORM_DOWN:
      return {down: isOn};
    case FaultKind.PLATFORM_SLOW:
      return {slowMs: isOn ? SLOW_MS : 0};
    case FaultKind.PLATFORM_REPLIES_LOST:
      return {loseReplies: isOn};
    case FaultKind.HOST_LIST_LAGGING:
      return {lagMs: isOn ? LAG_MS : 0};
    default:
      return {};
  }
}
