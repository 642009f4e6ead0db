import type {IncomingMessage, ServerResponse} from 'node:http';
import {Effect} from 'effect';
import {finishMessage} from './finish_message.js';
import {HttpError} from './http_error.js';
import {HttpFailure} from './http_failure.js';
import type {OutgoingHeaders} from './outgoing_request.js';
import {processConnections} from './process_connections.js';
import {readBody} from './read_body.js';
import {RequestPhase} from './request_phase.js';

/** Memory of a request and its reply without headers and bodies, about. */
const EXCHANGE_BYTES = 4096;
/** Memory of a header's name or value, about. */
const HEADER_STRING_BYTES = 64;
/** A chunk of one byte that is not read takes this many times its length. */
const SMALL_CHUNK_FACTOR = 100;

/** A received request and its reply. */
export class HttpExchange {
  readonly method: string;
  readonly path: string;
  /** When the request headers were received, in milliseconds since the epoch. */
  readonly arrivedAtMs = Date.now();
  /** Length of the body once it has been read, in bytes. */
  private bodyBytes = 0;
  /** Why the request was not received to its end; undefined if not known. */
  private receiptFailure: HttpFailure | undefined;
  private readonly queryText: string;
  private parsedQuery: URLSearchParams | undefined;

  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
  ) {
    const url = request.url ?? '/';
    const queryIndex = url.indexOf('?');
    this.method = request.method ?? 'GET';
    this.path = queryIndex < 0 ? url : url.slice(0, queryIndex);
    this.queryText = queryIndex < 0 ? '' : url.slice(queryIndex + 1);
  }

  /** The query, which most requests need not have parsed. */
  get query(): URLSearchParams {
    this.parsedQuery ??= new URLSearchParams(this.queryText);
    return this.parsedQuery;
  }

  /**
   * Returns a request header by its lower-case name: the first value if Node lists
   * several, undefined if absent.
   */
  getHeader(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /** Records why the rest of the request will not be received. */
  recordReceiptFailure(failure: HttpFailure): void {
    this.receiptFailure = failure;
  }

  /** Returns why the request was not received; by default its client left. */
  getReceiptFailure(): HttpFailure {
    return this.receiptFailure ?? HttpFailure.CLOSED;
  }

  /**
   * Reads the complete request body; fails if it exceeds `maxBytes`, without
   * reading if its length says so, and with `OVERLOADED` while the connections of
   * the process hold too much for it. The error names the other end `caller`, also
   * if it is a peer or an operator.
   */
  readBody(maxBytes: number): Effect.Effect<Buffer, HttpError> {
    return Effect.suspend(() => {
      const length = this.getBodyLength();
      if (length !== undefined && length > maxBytes) {
        return Effect.fail(makeError(HttpFailure.TOO_LARGE));
      }
      if (processConnections.isBodyRefused(length)) {
        return Effect.fail(makeError(HttpFailure.OVERLOADED));
      }
      return readBody(this.request, maxBytes, 'caller').pipe(
        Effect.map(body => {
          this.bodyBytes = body.length;
          return body;
        }),
        Effect.mapError(error =>
          error.failure === HttpFailure.CLOSED
            ? makeError(this.getReceiptFailure(), error)
            : error,
        ),
      );
    });
  }

  /**
   * Counts the memory that this exchange takes, about, without unsent bytes of
   * its reply.
   */
  countHeldBytes(): number {
    const {request} = this;
    const unreadBytes = request.readableLength;
    const isChunked = request.headers['transfer-encoding'] !== undefined;
    return (
      EXCHANGE_BYTES +
      request.rawHeaders.length * HEADER_STRING_BYTES +
      this.bodyBytes +
      unreadBytes * (isChunked ? SMALL_CHUNK_FACTOR : 1)
    );
  }

  /** Returns the length of the body; undefined if it is sent in chunks. */
  private getBodyLength(): number | undefined {
    const {headers} = this.request;
    if (headers['transfer-encoding'] !== undefined) return undefined;
    return Number(headers['content-length'] ?? 0);
  }

  /** Sends a complete reply; does nothing if headers were sent before. */
  send(status: number, headers: OutgoingHeaders, body: string | Buffer): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.response.writeHead(status, {
      ...headers,
      'content-length': String(Buffer.byteLength(body)),
    });
    finishMessage(this.response, body);
  }

  /** Sends `value` as a complete JSON reply; see {@link send}. */
  sendJson(
    status: number,
    value: unknown,
    headers: OutgoingHeaders = {},
  ): void {
    this.send(
      status,
      {'content-type': 'application/json', ...headers},
      JSON.stringify(value),
    );
  }

  /** Waits until the reply is handed to the socket or its connection closes. */
  waitFinished(): Effect.Effect<void> {
    const {response} = this;
    return Effect.callback<void>(resume => {
      if (response.writableFinished || response.destroyed) {
        resume(Effect.void);
        return;
      }
      response.once('close', () => resume(Effect.void));
      response.once('finish', () => resume(Effect.void));
    });
  }
}

function makeError(failure: HttpFailure, cause?: Error): HttpError {
  return new HttpError(failure, RequestPhase.MAYBE_SENT, 'caller', cause);
}
