import type {StandinChatBody} from '../backends/expected_answer.js';
import type {WorkKind} from './caller_verdict.js';

/** A request of a caller, before the caller chooses a daemon's address. */
export interface CallerRequest {
  readonly kind: WorkKind;
  readonly chat: string;
  readonly workId: string;
  /** If absent, the caller makes one key for each work id. */
  readonly idempotencyKey?: string;
  readonly ticket: string | undefined;
  readonly body: StandinChatBody;
}
