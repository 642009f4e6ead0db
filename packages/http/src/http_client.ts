import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import {Effect} from 'effect';
import {formatAddress} from '@greengagecross/common';
import {processBuffers, type BufferBudget} from './buffer_budget.js';
import {ConnectionPool} from './connection_pool.js';
import {finishMessage} from './finish_message.js';
import type {HttpError} from './http_error.js';
import type {HttpReply, OpenReply} from './http_reply.js';
import type {OutgoingHeaders, OutgoingRequest} from './outgoing_request.js';
import {PhaseTracker} from './phase_tracker.js';
import {readBody} from './read_body.js';

const DEFAULT_MAX_REPLY_BYTES = 16 * 1024 * 1024;
/**
 * Sends requests over keep-alive connections. An error reports whether the
 * request may have been sent.
 */
export class HttpClient {
  readonly pool = new ConnectionPool();

  /** @param budget limit on the memory of reply bodies that are being read */
  constructor(private readonly budget: BufferBudget = processBuffers) {}

  /** Sends a request and reads the complete reply. */
  send(outgoing: OutgoingRequest): Effect.Effect<HttpReply, HttpError> {
    const limit = outgoing.maxReplyBytes ?? DEFAULT_MAX_REPLY_BYTES;
    const target = formatAddress(outgoing.address);
    return Effect.flatMap(this.open(outgoing), reply => {
      outgoing.onHead?.();
      return readBody(reply.stream, limit, target, this.budget).pipe(
        Effect.map(body => ({
          status: reply.status,
          headers: reply.headers,
          body,
        })),
        Effect.onError(() => Effect.sync(() => reply.stream.destroy())),
      );
    });
  }

  /**
   * Sends a request and returns the reply once its headers are received. The
   * caller reads or destroys the stream of the body.
   */
  open(outgoing: OutgoingRequest): Effect.Effect<OpenReply, HttpError> {
    return Effect.callback<OpenReply, HttpError>(resume => {
      const clientRequest = this.startRequest(outgoing);
      const tracker = new PhaseTracker(clientRequest, outgoing, this.pool);
      clientRequest.once('response', stream => {
        watchReset(clientRequest, stream);
        resume(
          Effect.succeed({
            status: stream.statusCode ?? 0,
            headers: stream.headers,
            rawHeaders: stream.rawHeaders,
            stream,
            connectionUse: tracker.getConnectionUse(),
          }),
        );
      });
      clientRequest.on('error', error =>
        resume(Effect.suspend(() => Effect.fail(tracker.makeError(error)))),
      );
      // Every exchange emits 'close'. The error is built only if neither a
      // reply nor another error came before.
      clientRequest.once('close', () =>
        resume(Effect.suspend(() => Effect.fail(tracker.makeError()))),
      );
      return Effect.sync(() => tracker.onAborted());
    });
  }

  /** Closes every connection, including those of requests in flight. */
  close(): void {
    this.pool.destroy();
  }

  private startRequest(outgoing: OutgoingRequest): ClientRequest {
    const {address, replyId} = outgoing;
    this.pool.closeUnusable(address, replyId);
    const clientRequest = request({
      agent: this.pool,
      host: address.host,
      port: address.port,
      method: outgoing.method,
      path: outgoing.path,
      headers: {...outgoing.headers, ...buildContentLength(outgoing.body)},
    });
    // As for requests in HttpServer: no header line of a reply is dropped.
    clientRequest.maxHeadersCount = 0;
    finishMessage(clientRequest, outgoing.body);
    return clientRequest;
  }
}

/**
 * Fails the reply stream if its connection is reset, or if a body without a
 * length ends before the request is written: the server has not read it all,
 * and its reset may follow the end.
 *
 * Node treats a body that is framed by the close of its connection as complete
 * even after a reset, and reports a reset that arrives with the last bytes as
 * a normal end. `remotePort` is therefore read at the end, for the first time:
 * after a reset it is undefined, unless it was read while connected. No other
 * code may read it.
 */
function watchReset(
  clientRequest: ClientRequest,
  stream: IncomingMessage,
): void {
  clientRequest.once('error', error => stream.destroy(error));
  const {headers, socket} = stream;
  const isFramed =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  if (isFramed) return;
  socket.prependOnceListener('end', () => {
    if (socket.remotePort === undefined) {
      stream.destroy(new Error('the connection was reset'));
    } else if (!clientRequest.writableFinished) {
      stream.destroy(new Error('the reply ended before the request'));
    }
  });
}

/**
 * Builds the `content-length` header of a body.
 *
 * Node omits it for GET and DELETE, and the other end then parses the body as
 * the next request of the connection.
 */
function buildContentLength(
  body: string | Buffer | undefined,
): OutgoingHeaders {
  if (body === undefined || body.length === 0) return {};
  return {'content-length': String(Buffer.byteLength(body))};
}
