/** Limits on what all daemons together send a second time. */
export interface RetryBounds {
  /** Retries allowed for each first try of the window. */
  readonly ratio: number;
  /** Retries allowed in a window besides, over all daemons. */
  readonly slack: number;
  readonly windowMs: number;
}

/** Share of the allowed retries that is used, as windows slide. */
const USED_SHARE = 0.8;
const BUCKETS_PER_WINDOW = 20;

interface Bucket {
  readonly startMs: number;
  firsts: number;
  retries: number;
}

/**
 * Keeps retries of a fleet within one budget without a message per request:
 * first tries pay where they arrive, and the fixed part is split evenly.
 */
export class FleetRetryBudget {
  private readonly services = new Map<string, Bucket[]>();

  constructor(private bounds: RetryBounds) {}

  /** Takes in changed limits. */
  setBounds(bounds: RetryBounds): void {
    this.bounds = bounds;
  }

  /** Records a request's first try. */
  recordFirstTry(service: string, nowMs: number): void {
    this.getBucket(service, nowMs).firsts += 1;
  }

  /** Takes one retry if the window still has one. */
  take(service: string, daemons: number, nowMs: number): boolean {
    if (this.countLeft(service, daemons, nowMs) < 1) return false;
    this.getBucket(service, nowMs).retries += 1;
    return true;
  }

  /** Computes the retries left in the window that ends now. */
  countLeft(service: string, daemons: number, nowMs: number): number {
    const {ratio, slack, windowMs} = this.bounds;
    let firsts = 0;
    let retries = 0;
    for (const bucket of this.services.get(service) ?? []) {
      if (nowMs - bucket.startMs > windowMs) continue;
      firsts += bucket.firsts;
      retries += bucket.retries;
    }
    const share = slack / Math.max(1, daemons);
    return Math.floor(USED_SHARE * (ratio * firsts + share)) - retries;
  }

  private getBucket(service: string, nowMs: number): Bucket {
    const {windowMs} = this.bounds;
    const lengthMs = windowMs / BUCKETS_PER_WINDOW;
    const buckets = this.services.get(service) ?? [];
    this.services.set(service, buckets);
    while (buckets[0] && nowMs - buckets[0].startMs > windowMs + lengthMs) {
      buckets.shift();
    }
    const last = buckets[buckets.length - 1];
    if (last !== undefined && nowMs - last.startMs < lengthMs) return last;
    const bucket = {startMs: nowMs, firsts: 0, retries: 0};
    buckets.push(bucket);
    return bucket;
  }
}
