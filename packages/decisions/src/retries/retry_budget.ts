const REPLENISH_PER_FIRST_TRY = 0.1;
const MAX_SAVED_RETRIES = 10;

/** Keeps retries within a tenth of first tries. */
export class RetryBudget {
  private saved = MAX_SAVED_RETRIES;

  /** Records a first try, which pays for a tenth of a retry. */
  recordFirstTry(): void {
    this.saved = Math.min(
      MAX_SAVED_RETRIES,
      this.saved + REPLENISH_PER_FIRST_TRY,
    );
  }

  /** Takes one retry out of the budget if there is one. */
  take(): boolean {
    if (this.saved < 1) return false;
    this.saved -= 1;
    return true;
  }
}
