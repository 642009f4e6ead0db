import type {SeededRandom} from '@greengagecross/common';
import type {RetryBudget} from './retry_budget.js';

const MAX_ATTEMPTS = 3;
const INITIAL_BACKOFF_MS = 50;

/** Whether a failed attempt put load on the backend server it was sent to. */
export enum AttemptCost {
  /** Nothing reached the server, or a leaving server refused the request. */
  NONE = 'none',
  /** The server received the request and worked on it or refused it. */
  LOAD = 'load',
}

/** A request whose last attempt has failed. */
export interface FailedAttempt {
  readonly service: string;
  /** Attempts so far, including the first. */
  readonly attempts: number;
  readonly cost: AttemptCost;
  /** Remaining time until the request's deadline, in milliseconds. */
  readonly remainingMs: number;
}

/** Decides whether and when a failed request is retried. */
export abstract class RetryPolicy {
  /** Records the first attempt of a request. */
  abstract recordFirstTry(service: string): void;

  /** Chooses the wait before the next attempt; undefined for no retry. */
  abstract chooseWaitMs(failed: FailedAttempt): number | undefined;
}

/**
 * Retries within a budget, after a random backoff, up to the deadline. Used by
 * package `daemon`.
 */
export class BudgetedRetryPolicy extends RetryPolicy {
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
    const {attempts, remainingMs} = failed;
    if (attempts >= MAX_ATTEMPTS || remainingMs <= 0) return undefined;
    // The attempt put no load on its server, so a retry adds none: it needs
    // neither a wait nor the budget.
    if (failed.cost === AttemptCost.NONE) return 0;
    const maxWaitMs = INITIAL_BACKOFF_MS * 2 ** (attempts - 1);
    const waitMs = this.random.nextUnit() * maxWaitMs;
    if (waitMs >= remainingMs) return undefined;
    return this.budget.take(failed.service) ? waitMs : undefined;
  }
}
