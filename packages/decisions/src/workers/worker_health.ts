import {WorkerResult} from './worker_result.js';

/** Weight of the newest result: about eight results decide. */
const RESULT_WEIGHT = 0.15;
/** Weight of the newest latency. */
const LATENCY_WEIGHT = 0.2;
/** First pause after a server was not reached, in milliseconds. */
const FIRST_PAUSE_MS = 400;
/** Longest pause; a crashed server is back after a few seconds. */
const MAX_PAUSE_MS = 2000;
/** Failure share above the others' from which a server is avoided. */
const AVOIDED_EXCESS = 0.2;
/** Results that an avoided server is given again, one each so many ms. */
const TRIAL_INTERVAL_MS = 1000;

interface WorkerRecord {
  failureShare: number;
  latencyMs: number;
  pauseMs: number;
  pausedUntilMs: number;
  lastSentMs: number;
  results: number;
}

/**
 * Judges backend servers by the results of requests alone, since a server can
 * fail a part of its requests, or all, while its health check passes.
 */
export class WorkerHealth {
  private readonly records = new Map<string, WorkerRecord>();

  /** Records that a request is sent to a server. */
  recordSend(id: string, nowMs: number): void {
    this.getRecord(id).lastSentMs = nowMs;
  }

  /** Records what came of it. */
  record(id: string, result: WorkerResult, nowMs: number): void {
    const record = this.getRecord(id);
    record.results += 1;
    const failed = isFailure(result) ? 1 : 0;
    record.failureShare += RESULT_WEIGHT * (failed - record.failureShare);
    if (!isLoss(result)) {
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

  /** Records how long a server took to begin its answer, in milliseconds. */
  recordLatency(id: string, latencyMs: number): void {
    const record = this.getRecord(id);
    if (record.latencyMs === 0) record.latencyMs = latencyMs;
    record.latencyMs += LATENCY_WEIGHT * (latencyMs - record.latencyMs);
  }

  /** Gets the mean time to the begin of an answer; 0 when none is known. */
  getLatencyMs(id: string): number {
    return this.records.get(id)?.latencyMs ?? 0;
  }

  /** Gets the share of failures among the latest results. */
  getFailureShare(id: string): number {
    return this.records.get(id)?.failureShare ?? 0;
  }

  /**
   * Lists the servers of one service that should get no request now.
   *
   * A server that only fails more often than the others gets one request a
   * second all the same, to show that it is well again.
   */
  listAvoided(ids: readonly string[], nowMs: number): Set<string> {
    const avoided = new Set<string>();
    const shares = ids
      .map(id => this.getFailureShare(id))
      .sort((a, b) => a - b);
    const usual = shares[Math.floor((shares.length - 1) / 2)] ?? 0;
    for (const id of ids) {
      const record = this.records.get(id);
      if (record === undefined) continue;
      if (record.pausedUntilMs > nowMs) {
        avoided.add(id);
        continue;
      }
      const isWorse = record.failureShare > usual + AVOIDED_EXCESS;
      const isTrialDue = nowMs - record.lastSentMs > TRIAL_INTERVAL_MS;
      if (isWorse && !isTrialDue) avoided.add(id);
    }
    return avoided;
  }

  /** Forgets servers that are gone. */
  removeAllBut(ids: ReadonlySet<string>): void {
    for (const id of this.records.keys()) {
      if (!ids.has(id)) this.records.delete(id);
    }
  }

  private getRecord(id: string): WorkerRecord {
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

/** A lost server takes nothing at all for a while. */
function isLoss(result: WorkerResult): boolean {
  return result === WorkerResult.UNREACHABLE || result === WorkerResult.SILENT;
}

function isFailure(result: WorkerResult): boolean {
  return result !== WorkerResult.OK;
}
