import type {Socket} from 'node:net';
import {Queue} from 'effect';
import type {ConnectionHolding} from '@greengagecross/decisions';
import {answerUnavailable} from './answer_malformed.js';
import {ConnectionState} from './connection_state.js';
import type {HttpExchange} from './http_exchange.js';
import {PendingRequests} from './pending_requests.js';
import type {HeldConnection} from './process_connections.js';
import {ReadAheadGate, type ReadAheadLimit} from './read_ahead_gate.js';
import type {RequestReceipt} from './request_receipt.js';
import type {TurnScheduler, TurnTaker} from './turn_scheduler.js';
import {UnsentBytes} from './unsent_bytes.js';

/**
 * Time that a connection stays open beyond the advertised keep-alive, so that a
 * request sent just before the keep-alive elapses is still read.
 */
const KEEP_ALIVE_MARGIN_MS = 2000;
/** Requests of a connection that may wait for their replies before it is read on. */
const MAX_PENDING_REQUESTS = 8;
/**
 * Names and values of headers that such requests may have together: 8 requests
 * with headers of 16 KB each took 1 MB of a connection and more.
 */
const MAX_PENDING_HEADER_STRINGS = 1000;
/** Headers as strings take up to this many times their length on the wire. */
const HEADER_MEMORY_FACTOR = 8;

/**
 * Connection accepted by a listener, with its requests in order of receipt. The
 * other end is a caller, or a peer or operator on the control address.
 */
export class AcceptedConnection
  implements HeldConnection, ReadAheadLimit, TurnTaker
{
  private readonly pending = new PendingRequests();
  private readonly gate: ReadAheadGate;
  private readonly unsent: UnsentBytes;
  /** Number of replies completed since the last check for progress. */
  private finishedCount = 0;
  private holding: ConnectionHolding<AcceptedConnection>;
  private idleSinceMs: number | undefined;

  constructor(
    readonly socket: Socket,
    readonly queue: Queue.Queue<HttpExchange>,
    private readonly getKeepAliveMs: () => number,
    private readonly onState: (state: ConnectionState) => void,
    private readonly isCrowded: () => boolean,
    private readonly turns: TurnScheduler,
    readonly receipt: RequestReceipt,
  ) {
    this.holding = {
      connection: this,
      heldBytes: 0,
      aheadBytes: 0,
      stalledMs: 0,
    };
    this.unsent = new UnsentBytes(socket);
    this.gate = ReadAheadGate.open(socket, this, turns, this);
    socket.once('close', () => turns.remove(this));
  }

  /**
   * Adds an exchange whose request headers have been received in a turn of this
   * connection. It is handled at once, or in a later turn if others precede it.
   */
  add(exchange: HttpExchange): void {
    this.pending.add(exchange);
    this.receipt.add(exchange);
    exchange.response.once('finish', () => this.onReplyFinished());
    exchange.request.once('close', () => this.onRequestClosed(exchange));
    this.startNext();
  }

  /** Begins to handle a request that waits, or reads the next one. */
  takeTurn(): void {
    if (this.startNext()) {
      this.gate.update();
      return;
    }
    this.gate.parseHeld();
  }

  /** Returns whether the next request may be read, or the latest to its end. */
  isReadAllowed(): boolean {
    if (this.receipt.isReceivingBody()) return true;
    const most = this.isCrowded() ? 1 : MAX_PENDING_REQUESTS;
    return (
      this.pending.count() < most &&
      this.pending.countHeaderStrings() < MAX_PENDING_HEADER_STRINGS
    );
  }

  /** Reports what the connection waits for after bytes were parsed. */
  onTurnEnd(): void {
    if (this.pending.count() === 0) return;
    this.onState(
      this.isReceiving() ? ConnectionState.RECEIVING : ConnectionState.BUSY,
    );
  }

  /** Counts the requests whose headers were received, since the start. */
  countReceived(): number {
    return this.receipt.countReceived();
  }

  /** Counts the bytes that the body of the latest request certainly still has. */
  countBodyBytes(): number {
    return this.receipt.countBodyBytes();
  }

  /** Records bytes that are parsed next; see {@link ReadAheadLimit}. */
  onParsed(bytes: number, isHeadersEnd: boolean): void {
    this.receipt.onParsed(bytes, isHeadersEnd);
  }

  /** Returns whether a reply is pending, and no request is being received. */
  isReplying(): boolean {
    return this.pending.count() > 0 && this.receipt.isReceived();
  }

  /**
   * Returns whether part of a pending reply may already have been written; an
   * error reply would then corrupt that reply.
   */
  hasStartedReply(): boolean {
    if (this.pending.count() === 0) return false;
    return this.pending.count() > 1 || this.receipt.hasReplyStarted();
  }

  /** Returns whether the client takes too long to send a request. */
  isOverdue(nowMs: number): boolean {
    const isReading = !this.socket.isPaused();
    return this.receipt.isOverdue(this.pending.count(), nowMs, isReading);
  }

  /** Returns whether nothing of a reply to the request being received was sent. */
  isUnanswered(): boolean {
    if (this.pending.count() > 0) return this.isReceiving();
    return !this.receipt.isReceivingBody();
  }

  /** Discards what is received from now on, after input that is malformed. */
  stopReading(): void {
    this.gate.stop();
  }

  /** Closes the connection; its requests in progress are cancelled. */
  close(): void {
    this.socket.destroy();
  }

  /**
   * Closes the connection for another one. A request that is not received to its
   * end is answered before: it has not run, and never will.
   */
  release(): void {
    if (!this.isReceiving()) {
      this.close();
      return;
    }
    this.stopReading();
    answerUnavailable(this.socket);
  }

  /** Returns what the connection held at the last call of {@link observe}. */
  getHolding(): ConnectionHolding<AcceptedConnection> {
    return this.holding;
  }

  /**
   * Observes what the connection holds and whether its client makes progress.
   * Must be called repeatedly: each call compares the counts of bytes with those
   * of the previous call.
   *
   * @param nowMs time of the monotonic clock, in milliseconds
   * @returns how long the client has read nothing of the unsent bytes
   */
  observe(nowMs: number): number {
    const unreadMs = this.unsent.observe(nowMs);
    const heldBytes = this.countHeldBytes();
    this.idleSinceMs = this.isProgressing(heldBytes)
      ? undefined
      : (this.idleSinceMs ?? nowMs);
    this.finishedCount = 0;
    const aheadBytes = Math.max(
      0,
      this.gate.getHeldBytes() - this.countBodyBytes(),
    );
    const stalledMs = nowMs - (this.idleSinceMs ?? nowMs);
    this.holding = {connection: this, heldBytes, aheadBytes, stalledMs};
    return unreadMs;
  }

  private countHeldBytes(): number {
    const unparsedBytes = this.gate.getHeldBytes();
    if (this.pending.count() === 0) {
      // The rest of the body of a request that was answered is discarded.
      const isDiscarding = this.receipt.isReceivingBody();
      const headerBytes = isDiscarding ? 0 : this.receipt.countParsedBytes();
      return unparsedBytes + headerBytes * HEADER_MEMORY_FACTOR;
    }
    return unparsedBytes + this.unsent.get() + this.pending.countHeldBytes();
  }

  /** Returns whether the only request is not received to its end. */
  private isReceiving(): boolean {
    if (this.pending.count() !== 1) return false;
    return this.receipt.isReceivingBody() && !this.receipt.hasReplyStarted();
  }

  /**
   * Returns whether the client takes its replies, or waits for this process. A
   * request that is only partly received is no progress.
   */
  private isProgressing(heldBytes: number): boolean {
    if (heldBytes === 0 || this.finishedCount > 0) return true;
    if (!this.unsent.isRead()) return false;
    return this.unsent.get() > 0 || this.isReplying();
  }

  /**
   * Begins to handle the first request that waits, unless another is handled;
   * returns whether it did.
   */
  private startNext(): boolean {
    const next = this.pending.takeNext();
    if (next === undefined) return false;
    Queue.offerUnsafe(this.queue, next);
    return true;
  }

  /** Forgets the bytes of a request that ended after its reply. */
  private onRequestClosed(exchange: HttpExchange): void {
    if (this.pending.count() === 0) this.receipt.remove(exchange);
  }

  /**
   * Removes the finished reply from the pending ones. If none is pending, sets
   * an idle timeout longer than the advertised keep-alive.
   */
  private onReplyFinished(): void {
    this.pending.removeFirst();
    this.finishedCount += 1;
    this.gate.update();
    if (this.pending.count() > 0) {
      this.turns.add(this, 0);
      this.onTurnEnd();
      return;
    }
    // What was parsed belongs to requests that have been answered.
    this.receipt.removeReceived();
    this.onState(ConnectionState.IDLE);
    this.socket.setTimeout(this.getKeepAliveMs() + KEEP_ALIVE_MARGIN_MS);
  }
}
