import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import type {Socket} from 'node:net';
import {Effect} from 'effect';
import {formatAddress} from '@greengagecross/common';
import {ConnectionPool} from './connection_pool.js';
import {finishMessage} from './finish_message.js';
import {HttpError} from './http_error.js';
import {HttpFailure} from './http_failure.js';
import type {HttpReply, OpenReply} from './http_reply.js';
import type {OutgoingHeaders, OutgoingRequest} from './outgoing_request.js';
import {readBody} from './read_body.js';
import {RequestPhase} from './request_phase.js';
import {SilenceWatch} from './silence_watch.js';

const DEFAULT_MAX_REPLY_BYTES = 16 * 1024 * 1024;
/** Share of the silence limit after which an abandoned wait is suspect. */
const SUSPECT_SHARE = 0.5;

/** Sends requests over kept connections and tells how far a failed one came. */
export class HttpClient {
  readonly pool = new ConnectionPool();

  /** Sends a request and reads the whole reply. */
  send(outgoing: OutgoingRequest): Effect.Effect<HttpReply, HttpError> {
    const limit = outgoing.maxReplyBytes ?? DEFAULT_MAX_REPLY_BYTES;
    const target = formatAddress(outgoing.address);
    return Effect.flatMap(this.open(outgoing), reply =>
      readBody(reply.stream, limit, target).pipe(
        Effect.map(body => ({
          status: reply.status,
          headers: reply.headers,
          body,
        })),
        Effect.onError(() => Effect.sync(() => reply.stream.destroy())),
      ),
    );
  }

  /** Sends a request and gives its reply once the headers are in. */
  open(outgoing: OutgoingRequest): Effect.Effect<OpenReply, HttpError> {
    return Effect.callback<OpenReply, HttpError>(resume => {
      const sending = this.start(outgoing);
      const tracker = new PhaseTracker(sending, outgoing, this.pool);
      sending.once('response', stream => {
        watchReset(sending, stream);
        resume(
          Effect.succeed({
            status: stream.statusCode ?? 0,
            headers: stream.headers,
            stream,
          }),
        );
      });
      sending.on('error', error =>
        resume(Effect.suspend(() => Effect.fail(tracker.makeError(error)))),
      );
      // Made only when it is used: every exchange closes.
      sending.once('close', () =>
        resume(Effect.suspend(() => Effect.fail(tracker.makeError()))),
      );
      return Effect.sync(() => tracker.onAborted());
    });
  }

  /** Closes every connection. */
  close(): void {
    this.pool.destroy();
  }

  private start(outgoing: OutgoingRequest): ClientRequest {
    const sending = request({
      agent: this.pool,
      host: outgoing.address.host,
      port: outgoing.address.port,
      method: outgoing.method,
      path: outgoing.path,
      headers: {...outgoing.headers, ...buildLength(outgoing.body)},
    });
    finishMessage(sending, outgoing.body);
    return sending;
  }
}

/**
 * Ends a reply as broken when its connection is reset.
 *
 * Node takes a body that lasts until its connection closes for whole also when
 * that is reset; and it reports a reset that arrives with the last bytes as
 * an orderly end. The other end's address, not asked for before, is then gone.
 */
function watchReset(sending: ClientRequest, stream: IncomingMessage): void {
  sending.once('error', error => stream.destroy(error));
  const {headers, socket} = stream;
  const isFramed =
    headers['content-length'] !== undefined ||
    headers['transfer-encoding'] !== undefined;
  if (isFramed) return;
  socket.prependOnceListener('end', () => {
    if (socket.remotePort !== undefined) return;
    stream.destroy(new Error('the connection was reset'));
  });
}

/**
 * Builds the header that frames a body.
 *
 * Node sends the body of a GET or DELETE without it, which the other end then
 * takes for the next request of the connection.
 */
function buildLength(body: string | Buffer | undefined): OutgoingHeaders {
  if (body === undefined || body.length === 0) return {};
  return {'content-length': String(Buffer.byteLength(body))};
}

/** Follows one request: whether it was sent, and whether it went silent. */
class PhaseTracker {
  private phase = RequestPhase.NOT_SENT;
  private failure = HttpFailure.CONNECT;
  private connectTimer: NodeJS.Timeout | undefined;
  private sentAtMs = Number.POSITIVE_INFINITY;
  private hasReply = false;

  constructor(
    private readonly sending: ClientRequest,
    private readonly outgoing: OutgoingRequest,
    private readonly pool: ConnectionPool,
  ) {
    sending.once('socket', socket => this.onSocket(socket));
    sending.once('close', () => clearTimeout(this.connectTimer));
    sending.once('response', () => {
      this.hasReply = true;
    });
  }

  makeError(cause?: Error): HttpError {
    const target = formatAddress(this.outgoing.address);
    return new HttpError(this.failure, this.phase, target, cause);
  }

  /** Ends the request; one that waited long leaves no old connections. */
  onAborted(): void {
    const waitedMs = performance.now() - this.sentAtMs;
    const isLong = waitedMs > this.outgoing.silenceMs * SUSPECT_SHARE;
    if (isLong && !this.hasReply) this.closeIdle();
    this.sending.destroy();
  }

  private onSocket(socket: Socket): void {
    if (!socket.connecting) {
      this.onConnected(socket);
      return;
    }
    this.connectTimer = setTimeout(
      () => this.sending.destroy(),
      this.outgoing.connectTimeoutMs,
    );
    socket.once('connect', () => this.onConnected(socket));
  }

  private onConnected(socket: Socket): void {
    clearTimeout(this.connectTimer);
    this.phase = RequestPhase.MAYBE_SENT;
    this.failure = HttpFailure.CLOSED;
    this.sentAtMs = performance.now();
    const {silenceMs} = this.outgoing;
    new SilenceWatch(this.sending, socket, silenceMs, () => this.onSilent());
  }

  private onSilent(): void {
    this.failure = HttpFailure.SILENT;
    this.closeIdle();
    this.sending.destroy(new Error('no byte arrived in time'));
  }

  /** Idle connections of that age may be as dead as the silent one. */
  private closeIdle(): void {
    const {host, port} = this.outgoing.address;
    this.pool.closeIdle(host, port);
  }
}
