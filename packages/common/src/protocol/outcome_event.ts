import type {Outcome} from './outcome.js';
import type {RefusalReason} from './refusal_reason.js';

/** The data of the event that closes a stream. */
export interface OutcomeEvent {
  readonly outcome: Outcome;
  readonly requestId: string;
  readonly reason?: RefusalReason;
  readonly ticket?: string;
  /** Address for the chat's next turn; holds as long as a directory answer. */
  readonly address?: string;
}
