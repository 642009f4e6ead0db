import type {Address} from '@greengagecross/common';

/** What this system adds to a request that it sends to a backend server. */
export interface DispatchFields {
  /** The server that is meant; any other refuses the request. */
  readonly serverId: string;
  readonly leftMs: number;
  readonly customer?: string;
  /** An engine whose memory of the prompt is copied first. */
  readonly memorySource?: Address;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Event after which a stream goes on. */
  readonly lastEventId?: string;
}
