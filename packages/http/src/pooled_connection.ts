import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {LateReplyFilter, type OnLateReply} from './late_reply_filter.js';
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

/**
 * Requests with an id that one connection carries at most. Their ids are kept
 * while it is open, so that none is sent on it twice.
 */
const MAX_REQUESTS = 1000;
let lastNumber = 0;

/** One connection to another process, with the ids of its requests. */
export class PooledConnection {
  private readonly number = (lastNumber += 1);
  private readonly filter: LateReplyFilter | undefined;
  private requests = 0;

  constructor(stream: Duplex, onLateReply: OnLateReply) {
    if (!(stream instanceof Socket)) return;
    this.filter = new LateReplyFilter(stream, onLateReply);
  }

  /** Records that a request is about to be sent. */
  startRequest(replyId: ReplyId | undefined): ConnectionUse {
    const use = {
      connection: this.number,
      requestsBefore: this.requests,
      wasSentBefore: replyId !== undefined && this.hasSent(replyId.value),
    };
    this.requests += 1;
    this.filter?.startRequest(replyId);
    return use;
  }

  /**
   * Records that the reply is complete.
   *
   * @return whether the connection may carry another request
   */
  finishRequest(): boolean {
    this.filter?.finishRequest();
    return (this.filter?.countSent() ?? 0) < MAX_REQUESTS;
  }

  /** Returns whether a request with this id was sent on the connection. */
  hasSent(id: string): boolean {
    return this.filter?.hasSent(id) === true;
  }
}
