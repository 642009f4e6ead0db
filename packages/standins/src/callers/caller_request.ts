import type {StandinChatBody} from '../backends/expected_answer.js';
import type {WorkKind} from './caller_verdict.js';

/** One request as a caller makes it, before it knows where to send it. */
export interface CallerRequest {
  readonly kind: WorkKind;
  readonly chat: string;
  readonly workId: string;
  /** Key of the work; the caller makes one for each work id without it. */
  readonly idempotencyKey?: string;
  readonly ticket: string | undefined;
  readonly body: StandinChatBody;
}
