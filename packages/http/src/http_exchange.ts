import type {IncomingMessage, ServerResponse} from 'node:http';
import {Effect} from 'effect';
import {finishMessage} from './finish_message.js';
import type {HttpError} from './http_error.js';
import type {OutgoingHeaders} from './outgoing_request.js';
import {readBody} from './read_body.js';

/** One request that arrived, and the reply to it. */
export class HttpExchange {
  readonly method: string;
  readonly path: string;
  readonly query: URLSearchParams;
  /** When its headers were in, in milliseconds of the local clock. */
  readonly arrivedAtMs = Date.now();

  constructor(
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
  ) {
    const url = request.url ?? '/';
    const mark = url.indexOf('?');
    this.method = request.method ?? 'GET';
    this.path = mark < 0 ? url : url.slice(0, mark);
    this.query = new URLSearchParams(mark < 0 ? '' : url.slice(mark + 1));
  }

  /** Gets a header of the request; the first where it was repeated. */
  getHeader(name: string): string | undefined {
    const value = this.request.headers[name];
    return Array.isArray(value) ? value[0] : value;
  }

  /** Reads the whole request body. */
  readBody(maxBytes: number): Effect.Effect<Buffer, HttpError> {
    return readBody(this.request, maxBytes, 'caller');
  }

  /** Sends a whole reply. */
  send(status: number, headers: OutgoingHeaders, body: string | Buffer): void {
    if (this.response.headersSent || this.response.destroyed) return;
    this.response.writeHead(status, {
      ...headers,
      'content-length': String(Buffer.byteLength(body)),
    });
    finishMessage(this.response, body);
  }

  /** Sends a whole JSON reply. */
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

  /** Waits until the reply was handed to the socket or the caller left. */
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
