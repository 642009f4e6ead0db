import {ReceiptTimer} from '@greengagecross/decisions';
import type {HttpExchange} from './http_exchange.js';
import type {HttpFailure} from './http_failure.js';

/** Longest times in which parts of a request may arrive, in milliseconds. */
export interface ReceiptLimits {
  headersTimeoutMs: number;
  readonly requestTimeoutMs: number;
}

/** Empty lines that some clients send after a request belong to no headers. */
const EMPTY_LINE_BYTES = 2;

/** Receipt of the requests of a connection, one after the other. */
export class RequestReceipt {
  private readonly timer: ReceiptTimer;
  /**
   * Exchange of the latest request, until it was received and answered to its
   * end: its headers may take hundreds of KB.
   */
  private latest: HttpExchange | undefined;
  /** Most of the bytes being parsed that may follow the end of headers. */
  private bodyStartBytes = 0;
  /** Bytes parsed since the headers of the latest request, or a slice more. */
  private parsedBytes = 0;
  private receivedCount = 0;
  /** Bytes parsed since the end of the latest request. */
  private headerBytes = 0;

  constructor(
    intervalMs: number,
    private readonly limits: ReceiptLimits,
  ) {
    this.timer = new ReceiptTimer(intervalMs);
  }

  /** Records that the headers of a request have been received. */
  add(exchange: HttpExchange): void {
    this.latest = exchange;
    this.receivedCount += 1;
    this.headerBytes = 0;
    this.parsedBytes = this.bodyStartBytes;
  }

  /** Forgets a request if it is the latest one. */
  remove(exchange: HttpExchange): void {
    if (this.latest !== exchange) return;
    this.parsedBytes = 0;
    this.latest = undefined;
  }

  /** Forgets the latest request if it was received to its end. */
  removeReceived(): void {
    if (this.isReceived()) this.remove(this.latest as HttpExchange);
  }

  /** Records why the body being received will not be complete. */
  recordFailure(failure: HttpFailure): void {
    if (this.isReceivingBody()) this.latest?.recordReceiptFailure(failure);
  }

  /**
   * Records bytes that are parsed next.
   *
   * @param isHeadersEnd whether headers may end with the last of them
   */
  onParsed(bytes: number, isHeadersEnd: boolean): void {
    this.bodyStartBytes = isHeadersEnd ? 0 : bytes;
    this.parsedBytes += bytes;
    if (!this.isReceivingBody()) this.headerBytes += bytes;
  }

  /** Counts the bytes parsed since the headers of the latest request, about. */
  countParsedBytes(): number {
    return this.parsedBytes;
  }

  /** Counts the bytes that the body of the latest request certainly still has. */
  countBodyBytes(): number {
    const request = this.latest?.request;
    if (request === undefined || request.complete) return 0;
    const length = Number(request.headers['content-length'] ?? 0);
    return Math.max(0, length - this.parsedBytes) || 0;
  }

  /** Returns whether the latest request is received to its end. */
  isReceived(): boolean {
    return this.latest?.request.complete === true;
  }

  /** Returns whether a reply to the latest request was started. */
  hasReplyStarted(): boolean {
    return this.latest?.response.headersSent === true;
  }

  /** Counts the requests whose headers were received, since the start. */
  countReceived(): number {
    return this.receivedCount;
  }

  /** Returns whether a request was received in part. */
  isReceiving(): boolean {
    return this.isReceivingBody() || this.headerBytes > EMPTY_LINE_BYTES;
  }

  /** Returns whether the body of the latest request is not received to its end. */
  isReceivingBody(): boolean {
    return this.latest?.request.complete === false;
  }

  /**
   * Returns whether the client takes too long to send a request. Requests behind
   * others that wait for their replies have no limit.
   *
   * @param pendingCount number of requests without a complete reply
   */
  isOverdue(pendingCount: number, nowMs: number, isReading: boolean): boolean {
    const {headersTimeoutMs, requestTimeoutMs} = this.limits;
    const isBody = this.isReceivingBody();
    const message = this.findMessage(pendingCount);
    const limitMs = isBody ? requestTimeoutMs : headersTimeoutMs;
    return this.timer.isOverdue(message, limitMs, nowMs, isReading);
  }

  /** Returns the number of the request that is being received, if any. */
  private findMessage(pendingCount: number): number | undefined {
    if (this.isReceivingBody()) {
      return pendingCount <= 1 ? this.receivedCount : undefined;
    }
    // The first request is expected from the start of the connection.
    const isBegun = this.receivedCount === 0 || this.isReceiving();
    return isBegun && pendingCount === 0 ? this.receivedCount + 1 : undefined;
  }
}
