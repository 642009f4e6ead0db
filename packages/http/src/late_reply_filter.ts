import type {Socket} from 'node:net';
import {makeBoundedId} from '@greengagecross/common';
import {makeBodySkipper, type BodySkipper} from './body_skipper.js';
import {ByteCollector} from './byte_collector.js';
import type {OutgoingRequest, ReplyId} from './outgoing_request.js';
import {ReplyHeadText} from './reply_head_text.js';

const HEAD_END = '\r\n\r\n';
/** Node accepts no longer head. */
const MAX_HEAD_BYTES = 16 * 1024;
/** Longest body of a late reply that is skipped. */
const MAX_LATE_BODY_BYTES = 64 * 1024;
/** Bytes of late replies after which a connection carries no other request. */
const MAX_DISCARDED_BYTES = 64 * 1024;

/** What the next received byte belongs to. */
enum FilterState {
  /** A reply that is passed on. */
  PASSED_REPLY,
  /** The head of a reply. */
  HEAD,
  /** The body of a late reply. */
  LATE_BODY,
}

/** Called for each late reply with the id that it names and its status. */
export type OnLateReply = (id: string, status: number) => void;

/** A request as far as it decides how its reply is read. */
export type FilteredRequest = Pick<OutgoingRequest, 'method' | 'replyId'>;

/**
 * Discards late replies on a keep-alive connection: replies that name a request
 * which was sent on it earlier and is answered already. Node would take such a
 * reply for the answer to the current request.
 *
 * It relies on each id being sent at most once on a connection. A copy may be cut
 * short; what follows then must not be read as a part of it, nor it as a part of
 * what follows.
 */
export class LateReplyFilter {
  /** By bounded id, whether the reply has no body whatever its head says. */
  private readonly sentIds = new Map<string, boolean>();
  private readonly held = new ByteCollector();
  private readonly pushToReader: Socket['push'];
  private state = FilterState.PASSED_REPLY;
  private header = '';
  private current: ReplyId | undefined;
  private isIdle = true;
  private body: BodySkipper | undefined;
  private lateBodyBytes = 0;
  private discardedBytes = 0;

  constructor(
    private readonly socket: Socket,
    private readonly onLateReply: OnLateReply,
  ) {
    // Node's parser reads what the socket pushes.
    this.pushToReader = socket.push.bind(socket);
    socket.push = (chunk: unknown) => this.receive(chunk);
  }

  /** Counts the requests with an id that were sent on the connection. */
  countSent(): number {
    return this.sentIds.size;
  }

  /** Returns whether the next byte received begins a reply. */
  isBetweenReplies(): boolean {
    if (this.discardedBytes > MAX_DISCARDED_BYTES) return false;
    const isInBody = this.state === FilterState.LATE_BODY;
    return !isInBody && this.held.getLength() === 0;
  }

  /** Returns whether a request with this bounded id was sent on the connection. */
  hasSent(boundedId: string): boolean {
    return this.sentIds.has(boundedId);
  }

  /** Records that a request is about to be sent. */
  startRequest({method, replyId}: FilteredRequest): void {
    this.isIdle = false;
    this.current = replyId;
    if (replyId === undefined) return;
    this.header = replyId.header;
    this.sentIds.set(makeBoundedId(replyId.value), method === 'HEAD');
  }

  /** Records that the reply is complete and that no request is waiting. */
  finishRequest(): void {
    this.isIdle = true;
    this.current = undefined;
    if (this.sentIds.size === 0) return;
    if (this.state === FilterState.PASSED_REPLY) this.state = FilterState.HEAD;
  }

  private receive(chunk: unknown): boolean {
    if (!Buffer.isBuffer(chunk)) {
      this.flushHeld();
      return this.pushToReader(chunk);
    }
    let rest: Buffer = chunk;
    while (rest.length > 0) {
      switch (this.state) {
        case FilterState.PASSED_REPLY:
          return this.pushToReader(rest);
        case FilterState.HEAD:
          rest = this.readHead(rest);
          break;
        case FilterState.LATE_BODY:
          rest = this.discardBodyBytes(rest);
      }
    }
    return true;
  }

  /** Reads a head, or a part of it; returns the bytes after it. */
  private readHead(bytes: Buffer): Buffer {
    const heldBytes = this.held.getLength();
    if (heldBytes > 0) this.held.add(bytes);
    const received = heldBytes > 0 ? this.held.getBytes() : bytes;
    const searchedFrom = Math.max(0, heldBytes - HEAD_END.length + 1);
    const end = received.indexOf(HEAD_END, searchedFrom);
    if (end >= 0) {
      if (heldBytes > 0) this.held.take();
      return this.applyHead(received, end + HEAD_END.length);
    }
    if (heldBytes === 0) this.held.add(bytes);
    if (this.held.getLength() > MAX_HEAD_BYTES) this.flushHeld();
    return bytes.subarray(bytes.length);
  }

  /** Decides on a reply by its head; returns the bytes still to be handled. */
  private applyHead(received: Buffer, headLength: number): Buffer {
    const head = new ReplyHeadText(received.toString('latin1', 0, headLength));
    const rest = received.subarray(headLength);
    if (head.isInformational()) {
      this.pushToReader(received.subarray(0, headLength));
      return rest;
    }
    if (head.hasOtherStatusLine()) {
      this.socket.destroy();
      return received.subarray(received.length);
    }
    const id = this.findLateId(head);
    const body = this.makeLateBody(id, head);
    if (id === undefined || body === undefined) {
      this.state = FilterState.PASSED_REPLY;
      return received;
    }
    this.onLateReply(id, head.status);
    this.body = body;
    this.state = FilterState.LATE_BODY;
    this.lateBodyBytes = 0;
    this.countDiscarded(headLength);
    // A body without bytes ends here, even if no other byte arrives.
    return this.discardBodyBytes(rest);
  }

  /** Finds the id of an earlier request that a reply names, if it is late. */
  private findLateId(head: ReplyHeadText): string | undefined {
    const isUnnamed = !this.isIdle && this.current === undefined;
    if (isUnnamed || head.status === 0) return undefined;
    const id = head.findHeader(this.header);
    if (id === undefined || id === this.current?.value) return undefined;
    return this.hasSent(makeBoundedId(id)) ? id : undefined;
  }

  private makeLateBody(
    id: string | undefined,
    head: ReplyHeadText,
  ): BodySkipper | undefined {
    if (id === undefined) return undefined;
    const isBodiless = this.sentIds.get(makeBoundedId(id)) === true;
    return makeBodySkipper(head, isBodiless, MAX_LATE_BODY_BYTES);
  }

  private discardBodyBytes(bytes: Buffer): Buffer {
    const count = this.body?.discard(bytes) ?? 0;
    this.lateBodyBytes += count;
    this.countDiscarded(count);
    const isTooLong = this.lateBodyBytes > MAX_LATE_BODY_BYTES;
    if (isTooLong || this.body?.isMalformed() === true) this.socket.destroy();
    if (this.body?.isDone() === true) this.state = FilterState.HEAD;
    return bytes.subarray(count);
  }

  private countDiscarded(bytes: number): void {
    this.discardedBytes += bytes;
    const isTooMuch = this.discardedBytes > MAX_DISCARDED_BYTES;
    if (isTooMuch && this.isIdle) this.socket.destroy();
  }

  /** Passes on bytes that were held in case they belong to a late reply. */
  private flushHeld(): void {
    if (this.held.getLength() === 0) return;
    this.state = FilterState.PASSED_REPLY;
    this.pushToReader(this.held.take());
  }
}
