import type {Socket} from 'node:net';
import {makeBoundedId} from '@greengagecross/common';
import {ByteCollector} from './byte_collector.js';
import {ForwardedBytes} from './forwarded_bytes.js';
import {MalformedReplyError} from './malformed_reply_error.js';
import type {OutgoingRequest, ReplyId} from './outgoing_request.js';
import {makeReplyBody, type ReplyBody} from './reply_body.js';
import {BodyFraming, type ReplyHead} from './reply_head.js';
import type {ReplyFilterListener} from './reply_filter_listener.js';
import {ReplyHeadReader} from './reply_head_reader.js';

/** Longest body of a late reply that is skipped. */
const MAX_LATE_BODY_BYTES = 64 * 1024;
/** Bytes of late replies after which a connection carries no other request. */
const MAX_DISCARDED_BYTES = 64 * 1024;
const NO_BYTES = Buffer.alloc(0);

/** What the next received byte belongs to. */
enum FilterState {
  HEAD,
  BODY,
  /** Nothing: no byte is read any more. */
  REJECTED,
}

/** A request as far as it decides how its reply is read. */
export type FilteredRequest = Pick<OutgoingRequest, 'method' | 'replyId'>;

/**
 * Reads the replies on a connection before Node's parser, which gets only what
 * was found to be well-formed. What Node accepts differs between its releases,
 * and some of it has an end that others read differently.
 *
 * Late replies are discarded: replies that name a request which was sent on the
 * connection earlier and is answered already. Node would take such a reply for
 * the answer to the current request. This relies on each id being sent at most
 * once on a connection. A copy may be cut short; what follows then must not be
 * read as a part of it, nor it as a part of what follows.
 *
 * After bytes whose end is not known for certain, nothing on the connection can
 * be matched to a request: it is closed, and the request that waits fails.
 */
export class ReplyFilter {
  /** By bounded id, whether the reply has no body whatever its head says. */
  private readonly sentIds = new Map<string, boolean>();
  /** The part of a head that was received before. */
  private readonly held = new ByteCollector();
  private readonly pushToReader: Socket['push'];
  private state = FilterState.HEAD;
  private head: ReplyHeadReader | undefined;
  private body: ReplyBody | undefined;
  /** Whether the reply that is being read is forwarded to the parser. */
  private isForwarded = false;
  private header = '';
  private current: ReplyId | undefined;
  private isCurrentBodiless = false;
  /** Whether the current request waits for its reply, or for the rest of it. */
  private isDue = false;
  private isIdle = true;
  /** Whether a part of an earlier reply may come before a head. */
  private mayRepeat = false;
  private lateBodyBytes = 0;
  private discardedBytes = 0;

  constructor(
    private readonly socket: Socket,
    private readonly listener: ReplyFilterListener,
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
    return this.state === FilterState.HEAD && this.held.getLength() === 0;
  }

  /** Returns whether the connection must be closed. */
  isRejected(): boolean {
    return this.state === FilterState.REJECTED;
  }

  /** Returns whether a request with this bounded id was sent on the connection. */
  hasSent(boundedId: string): boolean {
    return this.sentIds.has(boundedId);
  }

  /** Records that a request is about to be sent. */
  startRequest({method, replyId}: FilteredRequest): void {
    this.isIdle = false;
    this.isDue = true;
    this.current = replyId;
    this.isCurrentBodiless = method === 'HEAD';
    if (replyId === undefined) return;
    this.header = replyId.header;
    this.sentIds.set(makeBoundedId(replyId.value), this.isCurrentBodiless);
  }

  /** Records that the reply is complete and that no request is waiting. */
  finishRequest(): void {
    this.isIdle = true;
    this.current = undefined;
    if (!this.isDue) return;
    this.state = FilterState.REJECTED;
    this.listener.onMalformedReply('its parser found another end', undefined);
  }

  private receive(chunk: unknown): boolean {
    // At the end of the connection, the part of a head that is held is no reply.
    if (!Buffer.isBuffer(chunk)) return this.pushToReader(chunk);
    if (this.state === FilterState.REJECTED) return false;
    const forwarded = new ForwardedBytes(chunk, bytes =>
      this.forwardBytes(bytes),
    );
    try {
      this.checkExpected();
      let at = 0;
      while (at < chunk.length) at = this.readNext(chunk, at, forwarded);
    } catch (error) {
      if (!(error instanceof MalformedReplyError)) throw error;
      return this.stopReading(error, forwarded);
    }
    return forwarded.flush();
  }

  /** Reads some bytes from an index on; returns the index after them. */
  private readNext(
    chunk: Buffer,
    start: number,
    forwarded: ForwardedBytes,
  ): number {
    return this.state === FilterState.HEAD
      ? this.readHead(chunk, start, forwarded)
      : this.readBody(chunk, start, forwarded);
  }

  private readHead(
    chunk: Buffer,
    start: number,
    forwarded: ForwardedBytes,
  ): number {
    this.head ??= new ReplyHeadReader(this.mayRepeat);
    const end = this.head.read(chunk, start);
    const head = this.head.getHead();
    if (head === undefined) {
      this.held.add(chunk.subarray(start, end));
      return end;
    }
    this.head = undefined;
    this.applyHead(head);
    const held = this.held.take();
    if (this.isForwarded) forwarded.add(held, start, end);
    else this.countDiscarded(held.length + end - start);
    // A body without bytes ends here, even if no other byte arrives.
    if (this.body?.isDone() === true) this.finishReply();
    return end;
  }

  private readBody(
    chunk: Buffer,
    start: number,
    forwarded: ForwardedBytes,
  ): number {
    const end = this.body?.read(chunk, start) ?? chunk.length;
    if (this.isForwarded) forwarded.add(NO_BYTES, start, end);
    else this.countLateBody(end - start);
    if (this.body?.isDone() === true) this.finishReply();
    return end;
  }

  /** Decides on a reply by its head. */
  private applyHead(head: ReplyHead): void {
    const id = this.findLateId(head);
    if (id === undefined && !this.isDue) {
      throw new MalformedReplyError('a reply without a request');
    }
    this.isForwarded = id === undefined;
    if (head.isInformational()) return;
    this.state = FilterState.BODY;
    if (id === undefined) {
      this.body = makeReplyBody(head, this.isCurrentBodiless);
      return;
    }
    const isBodiless = this.sentIds.get(makeBoundedId(id)) === true;
    checkLateBody(head, isBodiless);
    this.body = makeReplyBody(head, isBodiless);
    this.lateBodyBytes = 0;
    this.listener.onLateReply(id, head.status);
  }

  /** Finds the id of an earlier request that a reply names, if it is late. */
  private findLateId(head: ReplyHead): string | undefined {
    const isUnnamed = this.isDue && this.current === undefined;
    if (isUnnamed || head.isInformational()) return undefined;
    const id = head.findHeader(this.header);
    const isOwn = this.isDue && id === this.current?.value;
    if (id === undefined || isOwn) return undefined;
    return this.hasSent(makeBoundedId(id)) ? id : undefined;
  }

  private finishReply(): void {
    this.body = undefined;
    this.state = FilterState.HEAD;
    this.mayRepeat = this.sentIds.size > 0;
    if (this.isForwarded) this.isDue = false;
  }

  /** Without ids no reply can be late, so that no byte is allowed while idle. */
  private checkExpected(): void {
    if (!this.isIdle || this.sentIds.size > 0) return;
    throw new MalformedReplyError('bytes without a request');
  }

  private countLateBody(bytes: number): void {
    this.lateBodyBytes += bytes;
    this.countDiscarded(bytes);
    if (this.lateBodyBytes <= MAX_LATE_BODY_BYTES) return;
    throw new MalformedReplyError('a late reply is too long');
  }

  private countDiscarded(bytes: number): void {
    this.discardedBytes += bytes;
    const isTooMuch = this.discardedBytes > MAX_DISCARDED_BYTES;
    if (isTooMuch && this.isIdle) this.socket.destroy();
  }

  /**
   * Reads no more of the connection. A reply that is complete before is forwarded;
   * of one that is not, the rest received with it is withheld.
   */
  private stopReading(
    error: MalformedReplyError,
    forwarded: ForwardedBytes,
  ): boolean {
    this.state = FilterState.REJECTED;
    this.held.take();
    this.listener.onMalformedReply(
      error.message,
      this.isDue ? this.current?.value : undefined,
    );
    if (this.isDue) this.socket.destroy(error);
    else forwarded.flush();
    if (this.isIdle) this.socket.destroy();
    return false;
  }

  private forwardBytes(bytes: Buffer): boolean {
    if (this.socket.destroyed) return false;
    return this.pushToReader(bytes);
  }
}

/** Fails if the body of a late reply cannot be skipped. */
function checkLateBody(head: ReplyHead, isBodiless: boolean): void {
  if (isBodiless) return;
  const isUnframed = head.framing === BodyFraming.CONNECTION_END;
  if (!isUnframed && head.contentLength <= MAX_LATE_BODY_BYTES) return;
  throw new MalformedReplyError('the end of a late reply is not known');
}
