import {Effect} from 'effect';
import {HttpClient} from '@greengagecross/http';
import type {DaemonPlan} from '../fleet/fleet_plan.js';

const TIMEOUT_MS = 2000;
const METRIC = /^greengagecross_control_bytes (\d+)/m;

/** Measures the daemons' control bytes between two readings. */
export class ControlTraffic {
  private readonly client = new HttpClient();
  private readonly first = new Map<string, number>();
  private startMs = 0;

  constructor(private readonly daemons: readonly DaemonPlan[]) {}

  /** Takes the first reading. */
  async start(): Promise<void> {
    this.startMs = performance.now();
    for (const daemon of this.daemons) {
      const bytes = await this.read(daemon);
      if (bytes !== undefined) this.first.set(daemon.id, bytes);
    }
  }

  /** Computes bytes a second for each daemon that still runs, on average. */
  async compute(): Promise<number> {
    const seconds = (performance.now() - this.startMs) / 1000;
    const rates: number[] = [];
    for (const daemon of this.daemons) {
      const before = this.first.get(daemon.id);
      const after = await this.read(daemon);
      if (before === undefined || after === undefined) continue;
      if (after >= before) rates.push((after - before) / seconds);
    }
    this.client.close();
    return rates.reduce((a, b) => a + b, 0) / Math.max(1, rates.length);
  }

  private async read(daemon: DaemonPlan): Promise<number | undefined> {
    const asked = this.client.send({
      address: daemon.control,
      method: 'GET',
      path: '/metrics',
      connectTimeoutMs: TIMEOUT_MS,
      silenceMs: TIMEOUT_MS,
    });
    const reply = await Effect.runPromise(Effect.option(asked));
    if (reply._tag === 'None') return undefined;
    const match = METRIC.exec(reply.value.body.toString());
    return match === null ? undefined : Number(match[1]);
  }
}
