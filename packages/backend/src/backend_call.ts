import type {BackendServer, PriorityClass} from '@greengagecross/common';

/** Target and metadata of one attempt to run a request on a backend server. */
export interface BackendCall {
  readonly server: BackendServer;
  /** Id of this attempt; sent to the backend server as `x-request-id`. */
  readonly attemptId: string;
  readonly customer: string;
  readonly chat: string;
  readonly priority: PriorityClass;
  /** Time left until the caller's deadline, in milliseconds. */
  readonly deadlineMs: number;
}
