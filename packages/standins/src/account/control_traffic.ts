import {Effect} from 'effect';
import {HttpClient} from '@greengagecross/http';
import type {DaemonPlan} from '../fleet/fleet_plan.js';

const TIMEOUT_MS = 2000;
const METRIC = /^greengagecross_control_bytes\{kind="(\w+)"\} (\d+)/gm;

/** Bytes on a daemon's control sockets, by the kind of traffic. */
export type ControlBytes = Readonly<Record<string, number>>;

/** Measures the control bytes a second between two readings of the metrics. */
export class ControlTraffic {
  private readonly client = new HttpClient();
  private readonly first = new Map<string, ControlBytes>();
  private startMs = 0;

  constructor(private readonly daemons: readonly DaemonPlan[]) {}

  /** Takes the first reading; a daemon that does not answer is left out. */
  async start(): Promise<void> {
    this.startMs = performance.now();
    for (const daemon of this.daemons) {
      const bytes = await this.read(daemon);
      if (bytes !== undefined) this.first.set(daemon.id, bytes);
    }
  }

  /**
   * Takes the second reading and computes bytes a second, averaged over the
   * daemons that answered both times. Closes the connections.
   */
  async computeBytesPerSecond(): Promise<ControlBytes> {
    const seconds = (performance.now() - this.startMs) / 1000;
    const totals: Record<string, number> = {};
    let daemonCount = 0;
    for (const daemon of this.daemons) {
      const before = this.first.get(daemon.id);
      const after = await this.read(daemon);
      if (before === undefined || after === undefined) continue;
      daemonCount += 1;
      for (const [kind, bytes] of Object.entries(after)) {
        const increase = Math.max(0, bytes - (before[kind] ?? 0));
        totals[kind] = (totals[kind] ?? 0) + increase / seconds;
      }
    }
    this.client.close();
    return Object.fromEntries(
      Object.entries(totals).map(([kind, bytes]) => [
        kind,
        bytes / daemonCount,
      ]),
    );
  }

  private async read(daemon: DaemonPlan): Promise<ControlBytes | undefined> {
    const request = this.client.send({
      address: daemon.control,
      method: 'GET',
      path: '/metrics',
      connectTimeoutMs: TIMEOUT_MS,
      silenceMs: TIMEOUT_MS,
    });
    const reply = await Effect.runPromise(Effect.option(request));
    if (reply._tag === 'None') return undefined;
    const matches = reply.value.body.toString().matchAll(METRIC);
    return Object.fromEntries(
      [...matches].map(match => [match[1], Number(match[2])]),
    );
  }
}

/** Computes the sum over all kinds of traffic. */
export function computeTotalBytes(bytes: ControlBytes): number {
  return Object.values(bytes).reduce((sum, part) => sum + part, 0);
}
