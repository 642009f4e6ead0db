import type {Outcome} from './outcome.js';
import type {OutcomeReason} from './refusal_reason.js';

/** Data of the event that ends a stream; see `OUTCOME_EVENT`. */
export interface OutcomeEvent {
  readonly outcome: Outcome;
  readonly requestId: string;
  readonly reason?: OutcomeReason;
  readonly ticket?: string;
  /**
   * Address for the chat's next turn. Callers may cache it for as long as a
   * directory answer.
   */
  readonly address?: string;
}
