import {ServerResult} from './worker_result.js';

/** Weight of the newest result: the mean covers about eight results. */
const RESULT_WEIGHT = 0.15;
/** Weight of the newest latency in the mean. */
const LATENCY_WEIGHT = 0.2;
/** First pause (time without requests) of an unreachable or silent server. */
const FIRST_PAUSE_MS = 400;
/** Longest pause; a crashed server is back after a few seconds. */
const MAX_PAUSE_MS = 2000;
/**
 * A server whose failure share is above the median by more than this is
 * avoided.
 */
const AVOIDED_EXCESS_SHARE = 0.2;
/** Time between the requests that a server avoided for failures still gets. */
const PROBE_INTERVAL_MS = 1000;

interface ServerRecord {
  failureShare: number;
  latencyMs: number;
  pauseMs: number;
  pausedUntilMs: number;
  lastSentMs: number;
  results: number;
}

/**
 * Rates backend servers, engines and workers, by the results of requests alone,
 * since a server can fail some or all of its requests while its health check
 * passes. Used by package `router`; each `nowMs` is in milliseconds of the
 * monotonic clock.
 */
export class ServerHealth {
  private readonly records = new Map<string, ServerRecord>();

  /** Records that a request is being sent to a server. */
  recordSend(id: string, nowMs: number): void {
    this.getRecord(id).lastSentMs = nowMs;
  }

  /** Records the result of a request to a server. */
  recordResult(id: string, result: ServerResult, nowMs: number): void {
    const record = this.getRecord(id);
    record.results += 1;
    const failed = isFailure(result) ? 1 : 0;
    record.failureShare += RESULT_WEIGHT * (failed - record.failureShare);
    if (!isUnavailable(result)) {
      record.pauseMs = 0;
      return;
    }
    if (record.pausedUntilMs > nowMs) return;
    record.pauseMs = Math.min(
      MAX_PAUSE_MS,
      Math.max(FIRST_PAUSE_MS, 2 * record.pauseMs),
    );
    record.pausedUntilMs = nowMs + record.pauseMs;
  }

  /** Records the time until a server began its reply, in milliseconds. */
  recordLatency(id: string, latencyMs: number): void {
    const record = this.getRecord(id);
    if (record.latencyMs === 0) record.latencyMs = latencyMs;
    record.latencyMs += LATENCY_WEIGHT * (latencyMs - record.latencyMs);
  }

  /**
   * Returns the mean time until a server began its reply, in milliseconds; 0
   * when no latency was recorded.
   */
  getLatencyMs(id: string): number {
    return this.records.get(id)?.latencyMs ?? 0;
  }

  /** Returns the share of failures among a server's recent results, 0 to 1. */
  getFailureShare(id: string): number {
    return this.records.get(id)?.failureShare ?? 0;
  }

  /**
   * Lists the servers of one service that should get no request now.
   *
   * A paused server is always listed. A server that only fails more often than
   * the others still gets one request a second, which shows its recovery.
   */
  listAvoided(ids: readonly string[], nowMs: number): Set<string> {
    const avoided = new Set<string>();
    const shares = ids
      .map(id => this.getFailureShare(id))
      .sort((a, b) => a - b);
    const medianShare = shares[Math.floor((shares.length - 1) / 2)] ?? 0;
    for (const id of ids) {
      const record = this.records.get(id);
      if (record === undefined) continue;
      if (record.pausedUntilMs > nowMs) {
        avoided.add(id);
        continue;
      }
      const isWorse = record.failureShare > medianShare + AVOIDED_EXCESS_SHARE;
      const isProbeDue = nowMs - record.lastSentMs > PROBE_INTERVAL_MS;
      if (isWorse && !isProbeDue) avoided.add(id);
    }
    return avoided;
  }

  /** Removes the records of all servers but those given. */
  removeAllBut(ids: ReadonlySet<string>): void {
    for (const id of this.records.keys()) {
      if (!ids.has(id)) this.records.delete(id);
    }
  }

  private getRecord(id: string): ServerRecord {
    const known = this.records.get(id);
    if (known !== undefined) return known;
    const record = {
      failureShare: 0,
      latencyMs: 0,
      pauseMs: 0,
      pausedUntilMs: 0,
      lastSentMs: Number.NEGATIVE_INFINITY,
      results: 0,
    };
    this.records.set(id, record);
    return record;
  }
}

/** Results after which a server is paused, since it serves no request now. */
function isUnavailable(result: ServerResult): boolean {
  return result === ServerResult.UNREACHABLE || result === ServerResult.SILENT;
}

function isFailure(result: ServerResult): boolean {
  return result !== ServerResult.OK;
}
