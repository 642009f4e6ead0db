import type {BackendServer, PriorityClass} from '@greengagecross/common';

/** What a daemon tells a backend server about a request beside its body. */
export interface BackendCall {
  readonly server: BackendServer;
  /** Id of this attempt. */
  readonly attemptId: string;
  readonly customer: string;
  readonly chat: string;
  readonly priority: PriorityClass;
  /** Time left until the caller gives up, in milliseconds. */
  readonly deadlineMs: number;
}
