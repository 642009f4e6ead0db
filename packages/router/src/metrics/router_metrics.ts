import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import type {HedgeRefusal, ServerNotice} from '@greengagecross/decisions';
import {processReceiptFailures} from '@greengagecross/http';
import type {AttemptFailureKind} from '../calls/attempt_failure.js';
import type {CallOutcome} from '../calls/call_answer.js';
import type {CallKind} from '../model/call_kind.js';
import type {ConfigurationSource} from './configuration_source.js';
import type {TransferOutcome} from './transfer_outcome.js';

/**
 * Upper limits of the histogram's buckets, in seconds: around the latency
 * objectives (0.1 to 0.8 s) and the deadlines.
 */
const SECONDS_BUCKETS = [0.01, 0.03, 0.1, 0.25, 0.4, 0.8, 1.5, 3, 6, 12];

/** A gauge whose value is read when metrics are collected. */
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
    help: 'Attempts at backend servers, including unreachable servers.',
    labelNames: ['kind'],
    registers: [this.registry],
  });
  private readonly attemptFailures = new Counter({
    name: 'greengagecross_attempt_failures_total',
    help: 'Attempts without a complete reply, by why and by whether the server had written an event.',
    labelNames: ['failure', 'had_event'],
    registers: [this.registry],
  });
  private readonly notices = new Counter({
    name: 'greengagecross_server_notices_total',
    help: 'Replies that say that a server is leaving, wants no requests for some time, or was replaced at its address.',
    labelNames: ['notice'],
    registers: [this.registry],
  });
  private readonly coldRequests = new Counter({
    name: 'greengagecross_cold_requests_total',
    help: 'Attempts for which the right to send to a cold server was used.',
    registers: [this.registry],
  });
  private readonly heldBack = new Counter({
    name: 'greengagecross_cold_held_back_total',
    help: 'Choices in which a cold server was not available: another server was chosen, or none was left.',
    labelNames: ['result'],
    registers: [this.registry],
  });
  private readonly seconds = new Histogram({
    name: 'greengagecross_call_seconds',
    help: 'Time from a request to the end of its answer, in seconds.',
    labelNames: ['kind'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });

  private readonly activationSeconds = new Histogram({
    name: 'greengagecross_configuration_activation_seconds',
    help: 'Time from when peers first advertised a newer configuration to its activation; 0 if no peer did before.',
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  private readonly refusals = new Counter({
    name: 'greengagecross_refusals_total',
    help: 'Requests refused before dispatch, by status and by whether peers advertised a newer configuration.',
    labelNames: ['status', 'outdated'],
    registers: [this.registry],
  });
  private readonly idempotentSeconds = new Histogram({
    name: 'greengagecross_idempotent_call_seconds',
    help: 'Time from an idempotent request to the end of its answer, in seconds, by whether hedging was on.',
    labelNames: ['hedging'],
    buckets: SECONDS_BUCKETS,
    registers: [this.registry],
  });
  private readonly hedges = new Counter({
    name: 'greengagecross_hedges_total',
    help: 'Hedged requests that were sent, and those that answered first.',
    labelNames: ['event'],
    registers: [this.registry],
  });
  private readonly hedgeRefusals = new Counter({
    name: 'greengagecross_hedges_refused_total',
    help: 'Requests open after their delay that were not hedged, by why.',
    labelNames: ['reason'],
    registers: [this.registry],
  });
  private readonly configurationTransfers = new Counter({
    name: 'greengagecross_configuration_transfers_total',
    help: 'Attempts to get a newer configuration, by where from and by outcome.',
    labelNames: ['source', 'outcome'],
    registers: [this.registry],
  });
  private readonly configurationSentBytes = new Counter({
    name: 'greengagecross_configuration_sent_bytes_total',
    help: 'Bytes of configurations that were sent to other daemons, compressed.',
    registers: [this.registry],
  });
  private readonly configurationBusy = new Counter({
    name: 'greengagecross_configuration_busy_total',
    help: 'Daemons that were referred to others as the upload budget was used.',
    registers: [this.registry],
  });

  constructor() {
    new Counter({
      name: 'greengagecross_requests_not_received_total',
      help: 'Requests that no listener could receive, or connections that failed, by the code of the error.',
      labelNames: ['code'],
      registers: [this.registry],
      collect() {
        this.reset();
        for (const [code, total] of processReceiptFailures.listTotals()) {
          this.inc({code}, total);
        }
      },
    });
  }

  /** Registers a gauge that is read when metrics are collected. */
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

  /**
   * Records the end of a request.
   *
   * @param kind kind of the route; `none` when the request was refused before
   *     dispatch
   * @param attempts number of backend servers tried
   * @param seconds time from the request to the end of its answer
   * @param isHedgingOn whether hedging was on, for a dispatched idempotent request
   */
  recordCall(
    kind: CallKind | 'none',
    outcome: CallOutcome,
    attempts: number,
    seconds: number,
    isHedgingOn?: boolean,
  ): void {
    this.calls.inc({kind, outcome});
    this.attempts.inc({kind}, attempts);
    this.seconds.observe({kind}, seconds);
    if (isHedgingOn === undefined) return;
    const hedging = isHedgingOn ? 'on' : 'off';
    this.idempotentSeconds.observe({hedging}, seconds);
  }

  /** Records a request refused before dispatch. */
  recordRefusal(status: number, isOutdated: boolean): void {
    this.refusals.inc({status, outdated: String(isOutdated)});
  }

  /** Records that a configuration became active. */
  recordActivation(lagMs: number): void {
    this.activationSeconds.observe(lagMs / 1000);
  }

  /** Records an attempt that gave no complete reply. */
  recordAttemptFailure(failure: AttemptFailureKind, hadEvent: boolean): void {
    this.attemptFailures.inc({failure, had_event: String(hadEvent)});
  }

  /** Records what a server said of itself in a reply. */
  recordNotice(notice: ServerNotice): void {
    this.notices.inc({notice});
  }

  /** Records a hedge that was sent, or that gave the answer. */
  recordHedge(event: 'sent' | 'won'): void {
    this.hedges.inc({event});
  }

  /** Records that a request was not hedged. */
  recordHedgeRefusal(reason: HedgeRefusal): void {
    this.hedgeRefusals.inc({reason});
  }

  /** Records that a request is sent to a cold server. */
  recordColdRequest(): void {
    this.coldRequests.inc();
  }

  /** Records that a cold server was not available for a request. */
  recordHeldBack(hasOtherServer: boolean): void {
    this.heldBack.inc({result: hasOtherServer ? 'other-server' : 'no-server'});
  }

  /** Records the end of an attempt to get a newer configuration. */
  recordConfigurationTransfer(
    source: ConfigurationSource,
    outcome: TransferOutcome,
  ): void {
    this.configurationTransfers.inc({source, outcome});
  }

  /** Records the bytes of a configuration that is sent to another daemon. */
  recordConfigurationSent(bytes: number): void {
    this.configurationSentBytes.inc(bytes);
  }

  /** Records that a daemon was referred to others. */
  recordConfigurationBusy(): void {
    this.configurationBusy.inc();
  }

  /** Formats all metrics in the Prometheus text format. */
  format(): Promise<string> {
    return this.registry.metrics();
  }
}
