import type {Socket} from 'node:net';
import {Queue} from 'effect';
import type {HttpExchange} from './http_exchange.js';

/**
 * Time that a connection stays open beyond the advertised keep-alive, so that a
 * request sent just before the keep-alive elapses is still read.
 */
const KEEP_ALIVE_MARGIN_MS = 2000;

/** Connection accepted by a listener, with its requests in order of receipt. */
export class CallerConnection {
  /** Number of received requests whose replies are not complete. */
  private pendingCount = 0;
  /** Exchange of the latest request. */
  private latest: HttpExchange | undefined;
  private unsentBytes = 0;
  private flushedBytes = 0;
  private stalledSinceMs: number | undefined;

  constructor(
    readonly socket: Socket,
    readonly queue: Queue.Queue<HttpExchange>,
    private readonly getKeepAliveMs: () => number,
  ) {}

  /** Queues an exchange whose request headers have been received. */
  add(exchange: HttpExchange): void {
    this.pendingCount += 1;
    this.latest = exchange;
    exchange.response.once('finish', () => this.onReplyFinished());
    Queue.offerUnsafe(this.queue, exchange);
  }

  /**
   * Reports whether a reply is pending and the latest request was received
   * completely.
   */
  isReplying(): boolean {
    return this.pendingCount > 0 && this.latest?.request.complete === true;
  }

  /**
   * Reports whether part of a pending reply may already have been written; an
   * error reply would then corrupt that reply.
   */
  hasStartedReply(): boolean {
    if (this.pendingCount === 0) return false;
    return this.pendingCount > 1 || this.latest?.response.headersSent === true;
  }

  /**
   * Closes the connection if its caller has read nothing of the unsent bytes
   * for `timeoutMs`. Call repeatedly; each call compares with the one before.
   */
  closeIfStalled(nowMs: number, timeoutMs: number): void {
    const {writableLength, bytesWritten} = this.socket;
    const isProgressing =
      writableLength === 0 ||
      writableLength < this.unsentBytes ||
      bytesWritten - writableLength > this.flushedBytes;
    this.unsentBytes = writableLength;
    this.flushedBytes = bytesWritten - writableLength;
    if (isProgressing) {
      this.stalledSinceMs = undefined;
      return;
    }
    this.stalledSinceMs ??= nowMs;
    if (nowMs - this.stalledSinceMs >= timeoutMs) this.socket.destroy();
  }

  /** Sets an idle timeout longer than the keep-alive advertised to the caller. */
  private onReplyFinished(): void {
    this.pendingCount -= 1;
    if (this.pendingCount > 0) return;
    this.socket.setTimeout(this.getKeepAliveMs() + KEEP_ALIVE_MARGIN_MS);
  }
}
