import {SeededRandom} from '@greengagecross/common';
import {
  BudgetedRetryPolicy,
  RetryBudget,
  RetryPolicy,
  type FailedAttempt,
} from '@greengagecross/decisions';

const MAX_ATTEMPTS = 3;

/** Baseline that never retries. */
class NoRetries extends RetryPolicy {
  override recordFirstTry(): void {}

  override chooseWaitMs(): undefined {
    return undefined;
  }
}

/** Baseline: up to 3 attempts, without a delay or a check of the deadline. */
class NaiveRetries extends RetryPolicy {
  override recordFirstTry(): void {}

  override chooseWaitMs(failed: FailedAttempt): number | undefined {
    return failed.attempts >= MAX_ATTEMPTS ? undefined : 0;
  }
}

/** A retry budget that permits every retry. */
class UnlimitedBudget extends RetryBudget {
  override take(): boolean {
    return true;
  }
}

/** Retry strategies that the bench compares. */
export enum RetryStrategy {
  NONE = 'none',
  NAIVE = 'naive-3-tries',
  UNBUDGETED = 'jitter-and-deadline-without-budget',
  BUDGETED = 'budgeted',
}

/** Makes the retry policy of one daemon; `seed` seeds its retry jitter. */
export function makeRetryPolicy(
  strategy: RetryStrategy,
  seed: number,
): RetryPolicy {
  const random = new SeededRandom(seed);
  switch (strategy) {
    case RetryStrategy.NONE:
      return new NoRetries();
    case RetryStrategy.NAIVE:
      return new NaiveRetries();
    case RetryStrategy.UNBUDGETED:
      return new BudgetedRetryPolicy(new UnlimitedBudget(), random);
    case RetryStrategy.BUDGETED:
      return new BudgetedRetryPolicy(new RetryBudget(), random);
  }
}
