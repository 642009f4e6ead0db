import type {Socket} from 'node:net';
import {Queue} from 'effect';
import type {HttpExchange} from './http_exchange.js';

/** Time for a request that was sent just as its connection went idle. */
const KEEP_ALIVE_MARGIN_MS = 2000;

/** One connection that a listener accepted, with its requests in order. */
export class CallerConnection {
  /** Requests that were received and not yet answered whole. */
  private pending = 0;
  private last: HttpExchange | undefined;
  private unsentBytes = 0;
  private writtenBytes = 0;
  private stalledSinceMs: number | undefined;

  constructor(
    readonly socket: Socket,
    readonly queue: Queue.Queue<HttpExchange>,
    private readonly getKeepAliveMs: () => number,
  ) {}

  /** Takes in a request that arrived whole up to its headers. */
  add(exchange: HttpExchange): void {
    this.pending += 1;
    this.last = exchange;
    exchange.response.once('finish', () => this.onAnswered());
    Queue.offerUnsafe(this.queue, exchange);
  }

  /** Tells whether a whole request of this connection is being answered. */
  isAnswering(): boolean {
    return this.pending > 0 && this.last?.request.complete === true;
  }

  /** Tells whether some answer has begun, so that no other may be written. */
  hasBegunAnswer(): boolean {
    if (this.pending === 0) return false;
    return this.pending > 1 || this.last?.response.headersSent === true;
  }

  /** Closes a connection whose caller has read nothing for too long. */
  closeIfStalled(nowMs: number, limitMs: number): void {
    const {writableLength, bytesWritten} = this.socket;
    const isMoving =
      writableLength === 0 ||
      writableLength < this.unsentBytes ||
      bytesWritten - writableLength > this.writtenBytes;
    this.unsentBytes = writableLength;
    this.writtenBytes = bytesWritten - writableLength;
    if (isMoving) {
      this.stalledSinceMs = undefined;
      return;
    }
    this.stalledSinceMs ??= nowMs;
    if (nowMs - this.stalledSinceMs >= limitMs) this.socket.destroy();
  }

  /** The idle time that was announced ends before this end closes. */
  private onAnswered(): void {
    this.pending -= 1;
    if (this.pending > 0) return;
    this.socket.setTimeout(this.getKeepAliveMs() + KEEP_ALIVE_MARGIN_MS);
  }
}
