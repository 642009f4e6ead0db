import type {ReplyId} from './outgoing_request.js';

/** Which connection carried a request, and what it had carried before. */
export interface ConnectionUse {
  /** Number of the connection, unique in its process. */
  readonly connection: number;
  /** Number of requests that were sent on it before this one. */
  readonly requestsBefore: number;
  /** Whether a request with the same id was sent on it before. */
  readonly wasSentBefore: boolean;
}

let lastNumber = 0;

/** One connection to another process, with the ids of its requests. */
export class PooledConnection {
  private readonly number = (lastNumber += 1);
  private readonly sentIds = new Set<string>();
  private requests = 0;

  /** Records that a request is about to be sent. */
  startRequest(replyId: ReplyId | undefined): ConnectionUse {
    const id = replyId?.value;
    const use = {
      connection: this.number,
      requestsBefore: this.requests,
      wasSentBefore: id !== undefined && this.sentIds.has(id),
    };
    this.requests += 1;
    if (id !== undefined) this.sentIds.add(id);
    return use;
  }
}
