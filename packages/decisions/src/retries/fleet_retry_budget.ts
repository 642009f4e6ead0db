/** Limits on the retries that all daemons together send for one service. */
export interface RetryLimits {
  /** Retries allowed per first attempt of a request in the window. */
  readonly ratio: number;
  /** Further retries allowed per window, over all daemons. */
  readonly slack: number;
  readonly windowMs: number;
}

/**
 * Share of the allowed retries that daemons use; the rest is a margin because
 * the limits hold for every sliding window.
 */
const USED_SHARE = 0.8;
const BUCKETS_PER_WINDOW = 20;

interface Bucket {
  readonly startMs: number;
  firstTries: number;
  retries: number;
}

/**
 * One daemon's share of a retry budget for the whole fleet, enforced without a
 * message per request: each first attempt adds to the budget of the daemon
 * where the request arrives, and `slack` is split evenly among the daemons.
 *
 * Used by package `router`; package `daemon` uses `RetryBudget`. Each `nowMs`
 * is in milliseconds of the monotonic clock.
 */
export class FleetRetryBudget {
  private readonly bucketsByService = new Map<string, Bucket[]>();

  constructor(private limits: RetryLimits) {}

  /** Replaces the limits; what was recorded so far still counts. */
  setLimits(limits: RetryLimits): void {
    this.limits = limits;
  }

  /** Records the first attempt of a request to a service. */
  recordFirstTry(service: string, nowMs: number): void {
    this.getBucket(service, nowMs).firstTries += 1;
  }

  /** Takes one retry; false if none remains in the window. */
  take(service: string, daemonCount: number, nowMs: number): boolean {
    if (this.countRemaining(service, daemonCount, nowMs) < 1) return false;
    this.getBucket(service, nowMs).retries += 1;
    return true;
  }

  /** Counts the retries that remain in the window that ends now. */
  countRemaining(service: string, daemonCount: number, nowMs: number): number {
    const {ratio, slack, windowMs} = this.limits;
    let firstTries = 0;
    let retries = 0;
    for (const bucket of this.bucketsByService.get(service) ?? []) {
      if (nowMs - bucket.startMs > windowMs) continue;
      firstTries += bucket.firstTries;
      retries += bucket.retries;
    }
    const slackShare = slack / Math.max(1, daemonCount);
    return Math.floor(USED_SHARE * (ratio * firstTries + slackShare)) - retries;
  }

  private getBucket(service: string, nowMs: number): Bucket {
    const {windowMs} = this.limits;
    const bucketMs = windowMs / BUCKETS_PER_WINDOW;
    const buckets = this.bucketsByService.get(service) ?? [];
    this.bucketsByService.set(service, buckets);
    while (buckets[0] && nowMs - buckets[0].startMs > windowMs + bucketMs) {
      buckets.shift();
    }
    const last = buckets[buckets.length - 1];
    if (last !== undefined && nowMs - last.startMs < bucketMs) return last;
    const bucket = {startMs: nowMs, firstTries: 0, retries: 0};
    buckets.push(bucket);
    return bucket;
  }
}
