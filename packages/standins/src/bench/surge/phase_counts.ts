import {build} from 'hdr-histogram-js';
import type {CallerVerdict} from '../../callers/caller_verdict.js';

const MICROSECONDS_PER_MS = 1000;

/** Outcomes and latencies of the requests that were sent in one phase. */
export class PhaseCounts {
  private readonly times = build();
  private readonly reasons = new Map<string, number>();
  private total = 0;
  private complete = 0;

  /** Adds one request that has ended; only complete ones add a latency. */
  add(verdict: CallerVerdict, isComplete: boolean): void {
    this.total += 1;
    if (isComplete) {
      this.complete += 1;
      this.times.recordValue(Math.round(verdict.totalMs * MICROSECONDS_PER_MS));
      return;
    }
    const reason = `${verdict.outcome ?? 'nothing'} ${verdict.reason}`;
    this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + 1);
  }

  /** Adds another customer's counts. */
  addAll(other: PhaseCounts): void {
    this.total += other.total;
    this.complete += other.complete;
    this.times.add(other.times);
    for (const [reason, count] of other.reasons) {
      this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + count);
    }
  }

  /** Computes the share (0 to 1) of complete answers; 0 without requests. */
  computeCompleteShare(): number {
    return this.total === 0 ? 0 : this.complete / this.total;
  }

  /** Returns the printed fields of the phase; `others` counts failure reasons. */
  describe() {
    return {
      sent: this.total,
      complete: this.complete,
      p50_ms: this.getPercentileMs(50),
      p99_ms: this.getPercentileMs(99),
      others: Object.fromEntries(this.reasons),
    };
  }

  /** Returns a percentile of the time to the complete answer, in ms. */
  getPercentileMs(percentile: number): number {
    return this.times.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }
}
