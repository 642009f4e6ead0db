import {SeededRandom} from '@greengagecross/common';
import {
  BudgetedRetryPolicy,
  RetryBudget,
  RetryPolicy,
  type FailedAttempt,
} from '@greengagecross/decisions';

const MAX_ATTEMPTS = 3;

/** Baseline: never tries again. */
class NoRetries extends RetryPolicy {
  override recordFirstTry(): void {}

  override chooseWaitMs(): undefined {
    return undefined;
  }
}

/** Baseline: three tries at once, whatever the caller's deadline. */
class NaiveRetries extends RetryPolicy {
  override recordFirstTry(): void {}

  override chooseWaitMs(failed: FailedAttempt): number | undefined {
    return failed.attempts >= MAX_ATTEMPTS ? undefined : 0;
  }
}

/** A budget that never runs out. */
class EndlessBudget extends RetryBudget {
  override take(): boolean {
    return true;
  }
}

/** Ways of trying again that the bench compares. */
export enum RetryWay {
  NONE = 'none',
  NAIVE = 'naive-3-tries',
  UNBUDGETED = 'jitter-and-deadline-without-budget',
  BUDGETED = 'budgeted',
}

/** Makes one daemon's policy of a way. */
export function makeRetryPolicy(way: RetryWay, seed: number): RetryPolicy {
  const random = new SeededRandom(seed);
  switch (way) {
    case RetryWay.NONE:
      return new NoRetries();
    case RetryWay.NAIVE:
      return new NaiveRetries();
    case RetryWay.UNBUDGETED:
      return new BudgetedRetryPolicy(new EndlessBudget(), random);
    case RetryWay.BUDGETED:
      return new BudgetedRetryPolicy(new RetryBudget(), random);
  }
}
