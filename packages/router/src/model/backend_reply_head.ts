import type {OutgoingHeaders} from '@greengagecross/http';

/**
 * Load that a backend server reports with a reply, in requests. The router does
 * not use it.
 */
export interface BackendLoad {
  /** Requests that are running. */
  readonly running: number;
  /** Requests in the server's own queue. */
  readonly queued: number;
  /** Requests that the server can run concurrently. */
  readonly slots: number;
}

/** Decoded status and headers of a backend server's reply. */
export interface BackendReplyHead {
  readonly status: number;
  /** Whether the reply belongs to the request that was sent, by its id. */
  readonly isReplyToRequest: boolean;
  /** Whether the reply carries the id of any request. */
  readonly hasRequestId: boolean;
  /** Whether the server states that it did not run the request. */
  readonly isNotRun: boolean;
  /**
   * Whether the reply carries one signature of the server and no content encoding,
   * which only an intermediary would add.
   */
  readonly isSigned: boolean;
  /** Whether the server says that it is about to leave the fleet. */
  readonly isServerLeaving: boolean;
  /**
   * Time for which the server wants no request from this daemon, in
   * milliseconds; undefined if it does not say so.
   */
  readonly pauseMs?: number;
  /** Undefined when the reply reports no load. */
  readonly load?: BackendLoad;
  /** Headers to forward to the client. */
  readonly headers: OutgoingHeaders;
}
