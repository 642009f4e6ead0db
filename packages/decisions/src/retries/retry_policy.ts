import type {SeededRandom} from '@greengagecross/common';
import type {RetryBudget} from './retry_budget.js';

const MAX_ATTEMPTS = 3;
const FIRST_BACKOFF_MS = 50;

/** What a failed attempt did to the backend server that it was sent to. */
export enum AttemptCost {
  /** Nothing reached it, or it is leaving and turned the request away. */
  NONE = 'none',
  /** It was given work, or had to refuse it. */
  LOAD = 'load',
}

/** A request one of whose attempts has failed. */
export interface FailedAttempt {
  readonly service: string;
  /** Attempts so far, the first included. */
  readonly attempts: number;
  readonly cost: AttemptCost;
  /** Time until the caller gives up. */
  readonly leftMs: number;
}

/** Decides whether and when a request is tried again. */
export abstract class RetryPolicy {
  /** Records the first attempt of a request. */
  abstract recordFirstTry(service: string): void;

  /** Chooses the wait before the next attempt; undefined for no more. */
  abstract chooseWaitMs(failed: FailedAttempt): number | undefined;
}

/** Tries again within a budget, after a random wait, up to the deadline. */
export class BudgetedRetries extends RetryPolicy {
  constructor(
    private readonly budget: RetryBudget,
    private readonly random: SeededRandom,
  ) {
    super();
  }

  override recordFirstTry(service: string): void {
    this.budget.recordFirstTry(service);
  }

  override chooseWaitMs(failed: FailedAttempt): number | undefined {
    const {attempts, leftMs} = failed;
    if (attempts >= MAX_ATTEMPTS || leftMs <= 0) return undefined;
    // No load was offered, so moving on adds none.
    if (failed.cost === AttemptCost.NONE) return 0;
    const longestMs = FIRST_BACKOFF_MS * 2 ** (attempts - 1);
    const waitMs = this.random.nextUnit() * longestMs;
    if (waitMs >= leftMs) return undefined;
    return this.budget.take(failed.service) ? waitMs : undefined;
  }
}
