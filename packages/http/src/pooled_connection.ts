import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {makeBoundedId} from '@greengagecross/common';
import {ReplyFilter, type FilteredRequest} from './reply_filter.js';
import type {ReplyFilterListener} from './reply_filter_listener.js';

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
  private readonly filter: ReplyFilter | undefined;
  private requests = 0;

  constructor(stream: Duplex, listener: ReplyFilterListener) {
    if (!(stream instanceof Socket)) return;
    this.filter = new ReplyFilter(stream, listener);
  }

  /** Records that a request is about to be sent. */
  startRequest(request: FilteredRequest): ConnectionUse {
    const {replyId} = request;
    const use = {
      connection: this.number,
      requestsBefore: this.requests,
      wasSentBefore: this.hasSent(replyId && makeBoundedId(replyId.value)),
    };
    this.requests += 1;
    this.filter?.startRequest(request);
    return use;
  }

  /**
   * Records that the reply is complete and that no request is waiting. Returns
   * whether the connection may be kept.
   */
  finishRequest(): boolean {
    this.filter?.finishRequest();
    return this.filter?.isRejected() !== true;
  }

  /**
   * Returns whether the idle connection may carry a request. It may not if it
   * carried one with the same id: a late copy of the reply to that one could not
   * be told from the reply to this one.
   *
   * @param boundedId of the request; undefined if it has no id
   */
  isUsableFor(boundedId: string | undefined): boolean {
    const {filter} = this;
    if (filter === undefined) return true;
    const isFull = filter.countSent() >= MAX_REQUESTS;
    return !isFull && filter.isBetweenReplies() && !this.hasSent(boundedId);
  }

  private hasSent(boundedId: string | undefined): boolean {
    return boundedId !== undefined && this.filter?.hasSent(boundedId) === true;
  }
}
