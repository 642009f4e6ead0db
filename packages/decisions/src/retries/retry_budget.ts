const RETRIES_PER_FIRST_TRY = 0.09;
const MAX_SAVED_RETRIES = 3;

/** Retries that were paid for and not yet used. */
interface Bucket {
  saved: number;
}

/**
 * Keeps retries within a tenth of first tries: each first try pays for a part
 * of a retry, once for its service and once for the daemon as a whole. A retry
 * takes from both, so that one failing service cannot use up all of them.
 */
export class RetryBudget {
  private readonly whole: Bucket = {saved: MAX_SAVED_RETRIES};
  private readonly services = new Map<string, Bucket>();

  /** Records a first try, which pays for a part of a retry. */
  recordFirstTry(service: string): void {
    addPayment(this.whole);
    addPayment(this.getBucket(service));
  }

  /** Takes one retry out of the budget if there is one. */
  take(service: string): boolean {
    const bucket = this.getBucket(service);
    if (bucket.saved < 1 || this.whole.saved < 1) return false;
    bucket.saved -= 1;
    this.whole.saved -= 1;
    return true;
  }

  private getBucket(service: string): Bucket {
    const known = this.services.get(service);
    if (known !== undefined) return known;
    const bucket = {saved: MAX_SAVED_RETRIES};
    this.services.set(service, bucket);
    return bucket;
  }
}

function addPayment(bucket: Bucket): void {
  bucket.saved = Math.min(
    MAX_SAVED_RETRIES,
    bucket.saved + RETRIES_PER_FIRST_TRY,
  );
}
