const RETRIES_PER_FIRST_TRY = 0.09;
const BUCKET_CAPACITY_RETRIES = 3;

/** Token bucket: each token is a retry that may still be made. */
interface TokenBucket {
  retries: number;
}

/**
 * Keeps one daemon's retries within a tenth of its first attempts: 9 per 100,
 * plus a burst of 3. Used by package `daemon`; package `router` uses
 * `FleetRetryBudget`.
 *
 * Each first attempt adds a fraction of a retry to the bucket of its service
 * and to the bucket of the daemon. A retry is taken from both, so that one
 * failing service cannot use up the retries of all services.
 */
export class RetryBudget {
  private readonly daemonBucket: TokenBucket = {
    retries: BUCKET_CAPACITY_RETRIES,
  };
  private readonly serviceBuckets = new Map<string, TokenBucket>();

  /**
   * Records a first attempt, which adds a fraction of a retry to the budget.
   */
  recordFirstTry(service: string): void {
    addTokens(this.daemonBucket);
    addTokens(this.getBucket(service));
  }

  /** Takes one retry out of the budget; false if none remains. */
  take(service: string): boolean {
    const bucket = this.getBucket(service);
    if (bucket.retries < 1 || this.daemonBucket.retries < 1) return false;
    bucket.retries -= 1;
    this.daemonBucket.retries -= 1;
    return true;
  }

  private getBucket(service: string): TokenBucket {
    const existing = this.serviceBuckets.get(service);
    if (existing !== undefined) return existing;
    const bucket = {retries: BUCKET_CAPACITY_RETRIES};
    this.serviceBuckets.set(service, bucket);
    return bucket;
  }
}

function addTokens(bucket: TokenBucket): void {
  bucket.retries = Math.min(
    BUCKET_CAPACITY_RETRIES,
    bucket.retries + RETRIES_PER_FIRST_TRY,
  );
}
