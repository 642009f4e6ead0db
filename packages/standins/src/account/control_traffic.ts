import {Effect} from 'effect';
import {HttpClient} from '@greengagecross/http';
import type {DaemonPlan} from '../fleet/fleet_plan.js';

const TIMEOUT_MS = 2000;
const METRIC = /^greengagecross_control_bytes\{kind="(\w+)"\} (\d+)/gm;

/** Bytes on a daemon's control sockets, by what they are for. */
export type ControlBytes = Readonly<Record<string, number>>;

/** Measures the daemons' control bytes between two readings. */
export class ControlTraffic {
  private readonly client = new HttpClient();
  private readonly first = new Map<string, ControlBytes>();
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

  /** Computes bytes a second of a daemon that still runs, on average. */
  async compute(): Promise<ControlBytes> {
    const seconds = (performance.now() - this.startMs) / 1000;
    const totals: Record<string, number> = {};
    let counted = 0;
    for (const daemon of this.daemons) {
      const before = this.first.get(daemon.id);
      const after = await this.read(daemon);
      if (before === undefined || after === undefined) continue;
      counted += 1;
      for (const [kind, bytes] of Object.entries(after)) {
        const grown = Math.max(0, bytes - (before[kind] ?? 0));
        totals[kind] = (totals[kind] ?? 0) + grown / seconds;
      }
    }
    this.client.close();
    return Object.fromEntries(
      Object.entries(totals).map(([kind, bytes]) => [kind, bytes / counted]),
    );
  }

  private async read(daemon: DaemonPlan): Promise<ControlBytes | undefined> {
    const asked = this.client.send({
      address: daemon.control,
      method: 'GET',
      path: '/metrics',
      connectTimeoutMs: TIMEOUT_MS,
      silenceMs: TIMEOUT_MS,
    });
    const reply = await Effect.runPromise(Effect.option(asked));
    if (reply._tag === 'None') return undefined;
    const matches = reply.value.body.toString().matchAll(METRIC);
    return Object.fromEntries(
      [...matches].map(match => [match[1], Number(match[2])]),
    );
  }
}

/** Adds up the bytes of every kind. */
export function computeTotalBytes(bytes: ControlBytes): number {
  return Object.values(bytes).reduce((sum, part) => sum + part, 0);
}
