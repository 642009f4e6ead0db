import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {
  SuspectState,
  type Outcome,
  type RecentOutcome,
} from '@greengagecross/common';
import type {SuspectDump} from '../suspects/suspect_dump.js';
import {ControlKind} from './control_kind.js';
import {RecentOutcomes} from './recent_outcomes.js';
import {RequestKind} from './request_kind.js';

const SECONDS_BUCKETS = [0.005, 0.02, 0.05, 0.1, 0.3, 1, 1.3, 3, 10, 30, 100];

/** Values that are read when metrics are asked for. */
export interface GaugeReaders {
  readonly countLiveMembers: () => number;
  readonly getRevision: () => number;
  readonly countRefusedConfigurations: () => number;
  readonly getUnconfirmedSeconds: () => number;
  readonly countControlBytes: (kind: ControlKind) => number;
  readonly countInFlight: () => number;
  readonly countOrderLeases: () => number;
  readonly countEnginesBehind: () => number;
  readonly countOrdersSent: () => number;
  readonly describeSuspects: () => SuspectDump;
}

/** Metrics of one daemon; names begin with `greengagecross_`. */
export class DaemonMetrics {
  private readonly recent = new RecentOutcomes();
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'greengagecross_requests_total',
    help: 'Requests by the outcome that callers were told.',
    labelNames: ['kind', 'outcome', 'reason'],
    registers: [this.registry],
  });
  private readonly seconds = new Histogram({
    name: 'greengagecross_request_seconds',
    help: 'Time from a request to the end of its answer.',
    labelNames: ['kind'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  constructor(readers: GaugeReaders) {
    this.addGauge(
      'greengagecross_members_live',
      'Daemons that this one takes for live, itself included.',
      readers.countLiveMembers,
    );
    this.addGauge(
      'greengagecross_configuration_revision',
      'Revision of the configuration in force; 0 before the first.',
      readers.getRevision,
    );
    this.addGauge(
      'greengagecross_configuration_refusals',
      'Times that a configuration in the store was refused.',
      readers.countRefusedConfigurations,
    );
    this.addGauge(
      'greengagecross_configuration_unconfirmed_seconds',
      'Time since the store last confirmed that it is the newest.',
      readers.getUnconfirmedSeconds,
    );
    this.addControlBytes(readers.countControlBytes);
    this.addGauge(
      'greengagecross_requests_in_flight',
      'Caller requests now being served.',
      readers.countInFlight,
    );
    this.addOrders(readers);
    this.addSuspects(readers.describeSuspects);
  }

  /** Records the end of one request. */
  recordRequest(
    kind: RequestKind,
    outcome: Outcome,
    reason: string,
    durationMs: number,
    nowMs: number,
  ): void {
    // Lookups of addresses would drown what happens to requests.
    if (kind !== RequestKind.DIRECTORY) this.recent.add(outcome, reason, nowMs);
    this.requests.inc({kind, outcome, reason});
    this.seconds.observe({kind}, durationMs / 1000);
  }

  /** Lists what callers were told lately. */
  listRecent(nowMs: number): readonly RecentOutcome[] {
    return this.recent.list(nowMs);
  }

  /** Exports every metric as text. */
  export(): Promise<string> {
    return this.registry.metrics();
  }

  private addOrders(readers: GaugeReaders): void {
    this.addGauge(
      'greengagecross_order_leases',
      'Services whose engines this daemon gives orders to.',
      readers.countOrderLeases,
    );
    this.addGauge(
      'greengagecross_engines_not_as_wanted',
      'Engines of those services without the wanted version, adapters or role.',
      readers.countEnginesBehind,
    );
    this.addGauge(
      'greengagecross_orders_sent',
      'Orders that this daemon sent to engines since its start.',
      readers.countOrdersSent,
    );
  }

  private addControlBytes(count: (kind: ControlKind) => number): void {
    new Gauge({
      name: 'greengagecross_control_bytes',
      help: 'Bytes on control sockets since the start, headers included.',
      labelNames: ['kind'],
      registers: [this.registry],
      collect() {
        for (const kind of Object.values(ControlKind)) {
          this.set({kind}, count(kind));
        }
      },
    });
  }

  private addSuspects(describe: () => SuspectDump): void {
    this.addGauge(
      'greengagecross_crashed_requests',
      'Requests in flight here as their backend server crashed.',
      () => describe().crashes,
    );
    this.addGauge(
      'greengagecross_suspect_messages',
      'Messages sent to peers about such requests.',
      () => describe().sentMessages,
    );
    new Gauge({
      name: 'greengagecross_suspects',
      help: 'Requests remembered since a backend server crashed under them.',
      labelNames: ['state'],
      registers: [this.registry],
      collect() {
        const {entries} = describe();
        for (const state of Object.values(SuspectState)) {
          const count = entries.filter(entry => entry.state === state).length;
          this.set({state}, count);
        }
      },
    });
  }

  private addGauge(name: string, help: string, read: () => number): void {
    new Gauge({
      name,
      help,
      registers: [this.registry],
      collect() {
        this.set(read());
      },
    });
  }
}
