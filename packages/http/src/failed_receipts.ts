import type {Socket} from 'node:net';
import type {AcceptedConnection} from './accepted_connection.js';
import {
  answerMalformed,
  answerOutdated,
  answerTimeout,
} from './answer_malformed.js';
import type {HeaderLimit} from './header_limit.js';
import {HttpFailure} from './http_failure.js';
import type {OutgoingHeaders} from './outgoing_request.js';
import {processReceiptFailures, ReceiptAction} from './receipt_failures.js';

/** Prefix of the codes of errors after which Node parses nothing more. */
const PARSER_ERROR_PREFIX = 'HPE_';
/** The client closed its connection in the middle of a request. */
const CUT_CODE = 'HPE_INVALID_EOF_STATE';
const OVERFLOW_CODE = 'HPE_HEADER_OVERFLOW';
/** Code under which requests that arrive too slowly are counted. */
const TIMEOUT_CODE = 'ERR_HTTP_REQUEST_TIMEOUT';

/**
 * Ends connections whose requests cannot be received. Only a request that is
 * malformed or too slow is answered; other connections are broken, and closed
 * without a reply.
 */
export class FailedReceipts {
  /** Connections that have been answered or closed; they count once. */
  private readonly ended = new WeakSet<Socket>();

  constructor(
    private readonly listener: string,
    private readonly buildHeaders: () => OutgoingHeaders,
    private readonly headerLimit: HeaderLimit,
  ) {}

  /**
   * Handles an error of Node's parser or of the socket. One of a socket on which
   * no request is being received is not counted: its client has left.
   */
  handleError(
    error: NodeJS.ErrnoException,
    socket: Socket,
    connection: AcceptedConnection | undefined,
  ): void {
    const code = error.code ?? error.name;
    if (this.ended.has(socket)) return;
    const isParserError = code.startsWith(PARSER_ERROR_PREFIX);
    if (isParserError) connection?.stopReading();
    // The pending reply is still completed; nothing is read after it. What
    // follows the last request of a connection does not cut its reply either.
    if (connection?.isReplying() === true || socket.writableEnded) {
      if (isParserError) this.record(code, ReceiptAction.REPLYING);
      return;
    }
    this.ended.add(socket);
    if (!isParserError && connection?.receipt.isReceiving() !== true) {
      socket.destroy();
      return;
    }
    const isMalformed = isParserError && code !== CUT_CODE;
    const failure = isMalformed
      ? HttpFailure.MALFORMED_REQUEST
      : HttpFailure.CLOSED;
    connection?.receipt.recordFailure(failure);
    if (!isMalformed || connection?.hasStartedReply() === true) {
      this.record(code, ReceiptAction.CLOSED);
      socket.destroy();
      return;
    }
    this.record(code, ReceiptAction.ANSWERED);
    // A new connection may have a limit that allows these headers.
    if (code === OVERFLOW_CODE && this.headerLimit.isOutdated(socket)) {
      answerOutdated(socket);
      return;
    }
    answerMalformed(socket, code, this.buildHeaders());
  }

  /** Handles a request that its client takes too long to send. */
  handleOverdue(connection: AcceptedConnection): void {
    const {socket} = connection;
    if (this.ended.has(socket)) return;
    this.ended.add(socket);
    connection.stopReading();
    connection.receipt.recordFailure(HttpFailure.TIMED_OUT);
    if (!connection.isUnanswered() || socket.writableEnded) {
      this.record(TIMEOUT_CODE, ReceiptAction.CLOSED);
      socket.destroy();
      return;
    }
    this.record(TIMEOUT_CODE, ReceiptAction.ANSWERED);
    answerTimeout(socket, this.buildHeaders());
  }

  private record(code: string, action: ReceiptAction): void {
    const nowMs = performance.now();
    processReceiptFailures.record(code, action, this.listener, nowMs);
  }
}
