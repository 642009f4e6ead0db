import type {OutgoingHeaders} from '@greengagecross/http';

/** Load that a backend server tells with a reply. */
export interface BackendLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** Status and headers of a backend server's reply, decoded. */
export interface BackendReplyHead {
  readonly status: number;
  /** Whether it names the request that was sent. */
  readonly isOwn: boolean;
  /** Whether the server states that it did not run the request. */
  readonly isNotRun: boolean;
  /** Whether it bears the server's signature and no foreign encoding. */
  readonly isAuthentic: boolean;
  readonly load?: BackendLoad;
  /** Headers to pass on to the client. */
  readonly headers: OutgoingHeaders;
}
