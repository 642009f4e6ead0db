import type {IncomingMessage, ServerResponse} from 'node:http';
import {Effect} from 'effect';
import {finishMessage} from './finish_message.js';
import type {HttpError} from './http_error.js';
import type {OutgoingHeaders} from './outgoing_request.js';
import {readBody} from './read_body.js';

/** A received request and its reply. */
export class HttpExchange {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  /** When the request headers were received, in milliseconds since the epoch. */
  readonly arrivedAtMs = Date.now();

  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
  ) {
    const url = request.url ?? '/';
    const queryIndex = url.indexOf('?');
    this.method = request.method ?? 'GET';
    this.path = queryIndex < 0 ? url : url.slice(0, queryIndex);
    this.query = new URLSearchParams(
      queryIndex < 0 ? '' : url.slice(queryIndex + 1),
    );
  }

  /**
   * Returns a request header by its lower-case name: the first value if Node lists
   * several, undefined if absent.
   */
  getHeader(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /**
   * Reads the complete request body; fails if it exceeds `maxBytes`. The error
   * names the other end `caller`, also if it is a peer or an operator.
   */
  readBody(maxBytes: number): Effect.Effect<Buffer, HttpError> {
    return readBody(this.request, maxBytes, 'caller');
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
