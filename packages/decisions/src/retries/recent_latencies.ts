/** Latencies older than this say nothing about the servers' present state. */
export const MAX_LATENCY_AGE_MS = 30_000;
/** Maximum age of the newest latency, so that a route after a pause has none. */
const MAX_NEWEST_AGE_MS = 5000;
const MIN_SAMPLES = 20;
const MAX_SAMPLES = 256;
/** Time for which a computed quantile is used again; sorting costs 20 µs. */
const QUANTILE_REUSE_MS = 250;

interface Sample {
  readonly atMs: number;
  readonly latencyMs: number;
}

/** A quantile of recent latencies and what it was computed from. */
export interface LatencyQuantile {
  readonly latencyMs: number;
  readonly samples: number;
  /** When the newest latency was recorded, on the monotonic clock. */
  readonly newestAtMs: number;
}

interface CachedQuantile {
  readonly quantile: LatencyQuantile | undefined;
  readonly tailShare: number;
  readonly computedAtMs: number;
}

/** The latest latencies of one route on this daemon, in order of time. */
export class RecentLatencies {
  private readonly samples: Sample[] = [];
  private cached: CachedQuantile | undefined;

  record(latencyMs: number, nowMs: number): void {
    this.samples.push({atMs: nowMs, latencyMs});
    if (this.samples.length > MAX_SAMPLES) this.samples.shift();
  }

  /**
   * Computes the latency that a share of the requests exceeds; undefined if too
   * few latencies are known or they are too old.
   */
  findQuantile(tailShare: number, nowMs: number): LatencyQuantile | undefined {
    const {cached} = this;
    const isReusable =
      cached !== undefined &&
      cached.tailShare === tailShare &&
      nowMs - cached.computedAtMs < QUANTILE_REUSE_MS;
    if (isReusable) return cached.quantile;
    const quantile = this.computeQuantile(tailShare, nowMs);
    this.cached = {quantile, tailShare, computedAtMs: nowMs};
    return quantile;
  }

  private computeQuantile(
    tailShare: number,
    nowMs: number,
  ): LatencyQuantile | undefined {
    const {samples} = this;
    while (samples[0] && nowMs - samples[0].atMs > MAX_LATENCY_AGE_MS) {
      samples.shift();
    }
    const newest = samples[samples.length - 1];
    // With fewer samples than this, no sample lies above the quantile.
    const required = Math.max(MIN_SAMPLES, Math.ceil(1 / tailShare));
    if (newest === undefined || samples.length < required) return undefined;
    if (nowMs - newest.atMs > MAX_NEWEST_AGE_MS) return undefined;
    const sorted = samples
      .map(({latencyMs}) => latencyMs)
      .sort((a, b) => a - b);
    const rank = Math.ceil((1 - tailShare) * sorted.length);
    const latencyMs = sorted[Math.max(0, rank - 1)] ?? 0;
    return {latencyMs, samples: sorted.length, newestAtMs: newest.atMs};
  }
}
