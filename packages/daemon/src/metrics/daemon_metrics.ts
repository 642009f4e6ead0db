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

/** Functions that read the gauges each time the metrics are exported. */
export interface GaugeReaders {
  readonly countLiveMembers: () => number;
  readonly getConfigurationRevision: () => number;
  readonly countRefusedConfigurations: () => number;
  readonly getConfigurationUnconfirmedSeconds: () => number;
  readonly countControlBytes: (kind: ControlKind) => number;
  readonly countRequestsInFlight: () => number;
  readonly countOrderLeases: () => number;
  readonly countEnginesNotAsWanted: () => number;
  readonly countOrdersSent: () => number;
  /** Suspects are requests that were in flight at a backend server's crash. */
  readonly describeSuspects: () => SuspectDump;
}

/** Metrics of one daemon; names begin with `greengagecross_`. */
export class DaemonMetrics {
  private readonly recent = new RecentOutcomes();
  private readonly registry = new Registry();
  private readonly requests = new Counter({
    name: 'greengagecross_requests_total',
    help: 'Requests, by the outcome reported to the caller.',
    labelNames: ['kind', 'outcome', 'reason'],
    registers: [this.registry],
  });
  private readonly seconds = new Histogram({
    name: 'greengagecross_request_seconds',
    help: 'Time from a request to the end of its answer, in seconds.',
    labelNames: ['kind'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  constructor(readers: GaugeReaders) {
    this.addGauge(
      'greengagecross_members_live',
      'Daemons that this daemon considers live, itself included.',
      readers.countLiveMembers,
    );
    this.addGauge(
      'greengagecross_configuration_revision',
      'Revision of the current configuration; 0 while there is none.',
      readers.getConfigurationRevision,
    );
    this.addGauge(
      'greengagecross_configuration_refusals',
      'Times that a configuration in the store was refused.',
      readers.countRefusedConfigurations,
    );
    this.addGauge(
      'greengagecross_configuration_unconfirmed_seconds',
      'Seconds since the store last confirmed the configuration as current.',
      readers.getConfigurationUnconfirmedSeconds,
    );
    this.addControlBytes(readers.countControlBytes);
    this.addGauge(
      'greengagecross_requests_in_flight',
      'Requests from callers in flight.',
      readers.countRequestsInFlight,
    );
    this.addOrders(readers);
    this.addSuspects(readers.describeSuspects);
  }

  /**
   * Records one ended request; `durationMs` is from arrival to the end, `nowMs`
   * in milliseconds since the epoch.
   */
  recordRequest(
    kind: RequestKind,
    outcome: Outcome,
    reason: string,
    durationMs: number,
    nowMs: number,
  ): void {
    // Directory lookups would outnumber the outcomes of the other requests.
    if (kind !== RequestKind.DIRECTORY) this.recent.add(outcome, reason, nowMs);
    this.requests.inc({kind, outcome, reason});
    this.seconds.observe({kind}, durationMs / 1000);
  }

  /**
   * Lists the groups of outcomes of which one was reported to a caller within
   * the last minute; each group is counted since it began, which may be earlier.
   */
  listRecentOutcomes(nowMs: number): readonly RecentOutcome[] {
    return this.recent.list(nowMs);
  }

  /** Exports every metric in the text format of Prometheus. */
  export(): Promise<string> {
    return this.registry.metrics();
  }

  private addOrders(readers: GaugeReaders): void {
    this.addGauge(
      'greengagecross_order_leases',
      'Services whose order lease this daemon holds; only the holder sends orders.',
      readers.countOrderLeases,
    );
    this.addGauge(
      'greengagecross_engines_not_as_wanted',
      'Engines of leased services with an unwanted version, adapters or role.',
      readers.countEnginesNotAsWanted,
    );
    this.addGauge(
      'greengagecross_orders_sent',
      'Orders sent to engines since the start of this daemon.',
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
      'Requests here in flight at a backend server crash, since the start.',
      () => describe().crashes,
    );
    this.addGauge(
      'greengagecross_suspect_messages',
      'Messages sent to peers about requests in flight at a server crash.',
      () => describe().sentMessages,
    );
    this.addGauge(
      'greengagecross_refused_texts',
      'Messages of chats that are refused since engines crash under them.',
      () => describe().refusedTexts,
    );
    new Gauge({
      name: 'greengagecross_suspects',
      help: 'Remembered requests that were in flight at a backend server crash.',
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
