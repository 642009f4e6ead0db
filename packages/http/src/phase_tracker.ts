import type {ClientRequest} from 'node:http';
import type {Socket} from 'node:net';
import {formatAddress} from '@greengagecross/common';
import type {ConnectionPool} from './connection_pool.js';
import {ExchangeTimeoutError} from './exchange_timeouts.js';
import {HttpError} from './http_error.js';
import {HttpFailure} from './http_failure.js';
import {isMalformedReply} from './malformed_reply_error.js';
import type {OutgoingRequest} from './outgoing_request.js';
import type {ConnectionUse} from './pooled_connection.js';
import {RequestPhase} from './request_phase.js';
import {SilenceDetector} from './silence_detector.js';

/**
 * Share of the time for a reply after which an aborted request without a reply
 * also closes the idle connections to the same address, which may be dead as
 * well.
 */
const LONG_WAIT_SHARE = 0.5;
/** Use of a request that no connection was assigned to yet. */
const UNUSED_CONNECTION: ConnectionUse = {
  connection: 0,
  requestsBefore: 0,
  wasSentBefore: false,
};

/**
 * Tracks whether a request may have been sent and why it failed, and ends it at
 * its timeouts.
 */
export class PhaseTracker {
  private phase = RequestPhase.NOT_SENT;
  private failure = HttpFailure.CONNECT;
  private connectTimer: NodeJS.Timeout | undefined;
  private readonly headTimer: NodeJS.Timeout | undefined;
  private readonly totalTimer: NodeJS.Timeout | undefined;
  private sentAtMs = Number.POSITIVE_INFINITY;
  private hasReply = false;
  private isClosed = false;
  private connectionUse = UNUSED_CONNECTION;

  constructor(
    private readonly clientRequest: ClientRequest,
    private readonly outgoing: OutgoingRequest,
    private readonly pool: ConnectionPool,
  ) {
    clientRequest.once('socket', socket => {
      this.connectionUse = pool.startRequest(socket, outgoing);
      this.onSocket(socket);
    });
    this.headTimer = this.startTimer(
      outgoing.headTimeoutMs,
      HttpFailure.NO_REPLY,
    );
    this.totalTimer = this.startTimer(
      outgoing.totalTimeoutMs,
      HttpFailure.TOO_SLOW,
    );
    clientRequest.once('close', () => {
      this.isClosed = true;
      clearTimeout(this.connectTimer);
      clearTimeout(this.headTimer);
      clearTimeout(this.totalTimer);
    });
    clientRequest.once('response', () => {
      this.hasReply = true;
      clearTimeout(this.headTimer);
    });
  }

  /** Returns the use of a connection by this request. */
  getConnectionUse(): ConnectionUse {
    return this.connectionUse;
  }

  makeError(cause?: Error): HttpError {
    const target = formatAddress(this.outgoing.address);
    const isMalformed = cause !== undefined && isMalformedReply(cause);
    const failure = isMalformed ? HttpFailure.MALFORMED : this.failure;
    return new HttpError(failure, this.phase, target, cause);
  }

  /**
   * Cancels the request. After a long wait without a reply, the idle
   * connections to the same address are closed too, as they may be dead as well.
   */
  onAborted(): void {
    const waitedMs = performance.now() - this.sentAtMs;
    const {silenceMs, headTimeoutMs = silenceMs} = this.outgoing;
    const isLong = waitedMs > headTimeoutMs * LONG_WAIT_SHARE;
    if (isLong && !this.hasReply) this.closeIdle();
    this.clientRequest.destroy();
  }

  private onSocket(socket: Socket): void {
    if (!socket.connecting) {
      this.onConnected(socket);
      return;
    }
    this.connectTimer = setTimeout(
      () => this.clientRequest.destroy(),
      this.outgoing.connectTimeoutMs,
    );
    socket.once('connect', () => this.onConnected(socket));
  }

  private onConnected(socket: Socket): void {
    clearTimeout(this.connectTimer);
    this.phase = RequestPhase.MAYBE_SENT;
    this.failure = HttpFailure.CLOSED;
    this.sentAtMs = performance.now();
    new SilenceDetector(
      this.clientRequest,
      socket,
      this.outgoing.silenceMs,
      () => this.onSilent(),
      () => this.isSilenceFinal(),
    );
  }

  private isSilenceFinal(): boolean {
    const {headTimeoutMs, mayEndSilent} = this.outgoing;
    if (headTimeoutMs !== undefined && !this.hasReply) return false;
    return mayEndSilent?.() ?? true;
  }

  private onSilent(): void {
    const text = 'no byte received within the silence timeout';
    // Without a head timeout, silence within a body counts as a closed connection.
    if (this.outgoing.headTimeoutMs !== undefined) {
      this.closeRequest(HttpFailure.SILENT, text);
      return;
    }
    this.failure = HttpFailure.SILENT;
    this.closeIdle();
    this.clientRequest.destroy(new Error(text));
  }

  private startTimer(
    timeoutMs: number | undefined,
    failure: HttpFailure,
  ): NodeJS.Timeout | undefined {
    if (timeoutMs === undefined) return undefined;
    const text = `not complete within ${timeoutMs} ms`;
    const onTimeout = (): void => {
      const hasHead = failure === HttpFailure.NO_REPLY && this.hasReply;
      if (!hasHead && !this.isClosed) this.closeRequest(failure, text);
    };
    // Timers run before sockets are read: what arrived while the process was
    // busy counts.
    return setTimeout(() => setImmediate(onTimeout), timeoutMs);
  }

  private closeRequest(failure: HttpFailure, text: string): void {
    this.failure = failure;
    this.closeIdle();
    this.clientRequest.destroy(new ExchangeTimeoutError(failure, text));
  }

  /** Closes the idle connections to the address; they may be dead as well. */
  private closeIdle(): void {
    const {host, port} = this.outgoing.address;
    this.pool.closeIdle(host, port);
  }
}
