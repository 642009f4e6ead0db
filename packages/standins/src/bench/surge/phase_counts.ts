import {build} from 'hdr-histogram-js';
import type {CallerVerdict} from '../../callers/caller_verdict.js';

const MICROSECONDS_PER_MS = 1000;

/** What came of the requests that were sent in one phase. */
export class PhaseCounts {
  private readonly times = build();
  private readonly reasons = new Map<string, number>();
  private all = 0;
  private good = 0;

  /** Adds one request that has ended. */
  add(verdict: CallerVerdict, isGood: boolean): void {
    this.all += 1;
    if (isGood) {
      this.good += 1;
      this.times.recordValue(Math.round(verdict.totalMs * MICROSECONDS_PER_MS));
      return;
    }
    const reason = `${verdict.told ?? 'nothing'} ${verdict.reason}`;
    this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + 1);
  }

  /** Adds another customer's counts. */
  addAll(other: PhaseCounts): void {
    this.all += other.all;
    this.good += other.good;
    this.times.add(other.times);
    for (const [reason, count] of other.reasons) {
      this.reasons.set(reason, (this.reasons.get(reason) ?? 0) + count);
    }
  }

  /** Computes the part of the requests that were answered whole. */
  computeGoodShare(): number {
    return this.all === 0 ? 0 : this.good / this.all;
  }

  /** Describes the phase for a line of figures. */
  describe() {
    return {
      sent: this.all,
      complete: this.good,
      p50_ms: this.getPercentileMs(50),
      p99_ms: this.getPercentileMs(99),
      others: Object.fromEntries(this.reasons),
    };
  }

  /** Gets a percentile of the time to the whole answer, in milliseconds. */
  getPercentileMs(percentile: number): number {
    return this.times.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS;
  }
}
