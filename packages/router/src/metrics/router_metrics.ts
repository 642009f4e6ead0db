import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {CallOutcome} from '../calls/call_answer.js';
import type {CallKind} from '../model/call_kind.js';

/** Around the latency objectives, 0.1 to 0.8 s, and the deadlines, in seconds. */
const SECONDS_BUCKETS = [0.01, 0.03, 0.1, 0.25, 0.4, 0.8, 1.5, 3, 6, 12];

/** Values read when metrics are asked for. */
export interface GaugeReader {
  readonly name: string;
  readonly help: string;
  readonly read: () => number;
}

/** Metrics of one router daemon; names begin with `greengagecross_`. */
export class RouterMetrics {
  private readonly registry = new Registry();
  private readonly calls = new Counter({
    name: 'greengagecross_calls_total',
    help: 'Requests by their final outcome.',
    labelNames: ['kind', 'outcome'],
    registers: [this.registry],
  });
  private readonly attempts = new Counter({
    name: 'greengagecross_attempts_total',
    help: 'Sends to backend servers.',
    labelNames: ['kind'],
    registers: [this.registry],
  });
  private readonly seconds = new Histogram({
    name: 'greengagecross_call_seconds',
    help: 'Time from a request to the end of its answer.',
    labelNames: ['kind'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  /** Adds a value that is read when metrics are asked for. */
  addGauge({name, help, read}: GaugeReader): void {
    new Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }

  /** Records the end of a request. */
  recordCall(
    kind: CallKind | 'none',
    outcome: CallOutcome,
    attempts: number,
    seconds: number,
  ): void {
    this.calls.inc({kind, outcome});
    this.attempts.inc({kind}, attempts);
    this.seconds.observe({kind}, seconds);
  }

  /** Formats all metrics as text. */
  format(): Promise<string> {
    return this.registry.metrics();
  }
}
