import {Logger} from '@greengagecross/common';
import type {ConfigurationSource} from '../metrics/configuration_source.js';
import type {RouterMetrics} from '../metrics/router_metrics.js';
import {TransferOutcome} from '../metrics/transfer_outcome.js';

/** Maximum number of advertised versions whose first times are kept. */
const MAX_VERSIONS = 16;
const logger = new Logger('state');

/** A configuration that arrived. */
export interface ReceivedConfiguration {
  readonly version: number;
  readonly source: ConfigurationSource;
  /** When the call began, on the monotonic clock. */
  readonly startedAtMs: number;
  /** Id of the peer that sent it; undefined for the store. */
  readonly peer?: string;
  /** Compressed size, if it was compressed. */
  readonly bytes?: number;
}

/** Logs and counts the attempts to get newer configurations. */
export class ConfigurationTransferLog {
  /** When newer versions were first heard of, by version. */
  private readonly heardAtMs = new Map<number, number>();
  /** Attempts since the last received configuration. */
  private attempts = 0;

  constructor(private readonly metrics: RouterMetrics) {}

  /** Records that a peer advertises a version; the first time counts. */
  recordAdvertised(version: number, nowMs: number): void {
    if (this.heardAtMs.has(version)) return;
    this.heardAtMs.set(version, nowMs);
    if (this.heardAtMs.size <= MAX_VERSIONS) return;
    const [oldest] = this.heardAtMs.keys();
    if (oldest !== undefined) this.heardAtMs.delete(oldest);
  }

  /** Records an attempt without a configuration. */
  recordAttempt(source: ConfigurationSource, outcome: TransferOutcome): void {
    this.attempts += 1;
    this.metrics.recordConfigurationTransfer(source, outcome);
  }

  /** Records a failed attempt at a peer. */
  recordFailure(
    source: ConfigurationSource,
    peer: string,
    cause: string,
  ): void {
    this.recordAttempt(source, TransferOutcome.FAILED);
    logger.log('Fetching the configuration from a peer failed.', {
      peer,
      attempts: this.attempts,
      cause,
    });
  }

  /** Records a configuration that arrived. */
  recordReceived(
    {version, source, startedAtMs, peer, bytes}: ReceivedConfiguration,
    nowMs: number,
  ): void {
    this.recordAttempt(source, TransferOutcome.RECEIVED);
    const heardAtMs = this.heardAtMs.get(version) ?? startedAtMs;
    logger.log('A newer configuration was fetched.', {
      version,
      source,
      peer,
      bytes,
      attempts: this.attempts,
      durationMs: Math.round(nowMs - startedAtMs),
      sinceAdvertisedMs: Math.round(nowMs - heardAtMs),
    });
    this.attempts = 0;
    for (const heard of this.heardAtMs.keys()) {
      if (heard <= version) this.heardAtMs.delete(heard);
    }
  }
}
