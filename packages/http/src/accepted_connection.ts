import type {Socket} from 'node:net';
import {Queue} from 'effect';
import type {HttpExchange} from './http_exchange.js';

/**
 * Time that a connection stays open beyond the advertised keep-alive, so that a
 * request sent just before the keep-alive elapses is still read.
 */
const KEEP_ALIVE_MARGIN_MS = 2000;

/**
 * Connection accepted by a listener, with its requests in order of receipt. The
 * other end is a caller, or a peer or operator on the control address.
 */
export class AcceptedConnection {
  /** Number of received requests whose replies are not complete. */
  private pendingCount = 0;
  /** Exchange of the latest request. */
  private latest: HttpExchange | undefined;
  /** Bytes that waited to be sent at the last check for progress. */
  private unsentBytes = 0;
  /** Bytes that the system had taken at the last check for progress. */
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
   * Returns whether a reply is pending and the latest request was received
   * completely.
   */
  isReplying(): boolean {
    return this.pendingCount > 0 && this.latest?.request.complete === true;
  }

  /**
   * Returns whether part of a pending reply may already have been written; an
   * error reply would then corrupt that reply.
   */
  hasStartedReply(): boolean {
    if (this.pendingCount === 0) return false;
    return this.pendingCount > 1 || this.latest?.response.headersSent === true;
  }

  /**
   * Closes the connection if the other end has read nothing of the unsent bytes
   * for `timeoutMs`. Must be called repeatedly: each call compares the counts of
   * bytes with those of the previous call.
   *
   * Node includes unsent bytes in `bytesWritten`; the difference is what the
   * system has taken. Either count shows progress: the unsent bytes may grow
   * while the other end reads.
   *
   * @param nowMs time of the monotonic clock, in milliseconds
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

  /**
   * Removes the finished reply from the count of pending replies. If none is
   * pending, sets an idle timeout longer than the advertised keep-alive.
   */
  private onReplyFinished(): void {
    this.pendingCount -= 1;
    if (this.pendingCount > 0) return;
    this.socket.setTimeout(this.getKeepAliveMs() + KEEP_ALIVE_MARGIN_MS);
  }
}
