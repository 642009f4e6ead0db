import {Agent, type ClientRequestArgs} from 'node:http';
import {Socket} from 'node:net';
import type {Duplex} from 'node:stream';
import {Logger, makeBoundedId, type Address} from '@greengagecross/common';
import type {ReplyId} from './outgoing_request.js';
import {PooledConnection, type ConnectionUse} from './pooled_connection.js';
import type {FilteredRequest} from './reply_filter.js';
import {ReplyFilterListener} from './reply_filter_listener.js';
import {SocketByteCounter} from './socket_byte_counter.js';

const MAX_IDLE_SOCKETS_PER_ORIGIN = 64;
const KEEP_ALIVE_PROBE_MS = 1000;
/** A shorter time in a reply's `keep-alive` header takes precedence. */
const MAX_IDLE_MS = 10_000;
const logger = new Logger('http');

type ConnectionCallback = (error: Error | null, stream: Duplex) => void;

/**
 * Keep-alive connections to other processes, with a count of their bytes.
 *
 * A faulty server may send a reply once more. A copy that names its request is
 * discarded. Any other bytes without a request, and bytes that are no reply,
 * close their connection.
 */
export class ConnectionPool extends Agent {
  readonly bytes = new SocketByteCounter();
  private readonly connections = new WeakMap<Duplex, PooledConnection>();
  private readonly counter = new ReplyCounter();

  constructor() {
    super({
      keepAlive: true,
      keepAliveMsecs: KEEP_ALIVE_PROBE_MS,
      maxFreeSockets: MAX_IDLE_SOCKETS_PER_ORIGIN,
      scheduling: 'lifo',
      timeout: MAX_IDLE_MS,
    });
  }

  override createConnection(
    options: ClientRequestArgs,
    callback?: ConnectionCallback,
  ): Duplex | null | undefined {
    const stream = super.createConnection(options, callback);
    if (stream instanceof Socket) this.bytes.add(stream);
    return stream;
  }

  /** Records that a request is about to be sent on a connection. */
  startRequest(stream: Duplex, request: FilteredRequest): ConnectionUse {
    let connection = this.connections.get(stream);
    if (connection === undefined) {
      connection = new PooledConnection(stream, this.counter);
      this.connections.set(stream, connection);
    }
    return connection.startRequest(request);
  }

  /** Node calls this when a connection becomes idle. */
  override keepSocketAlive(stream: Duplex): boolean {
    if (this.connections.get(stream)?.finishRequest() === false) return false;
    // Node returns whether the connection may be kept; its types say void.
    return super.keepSocketAlive(stream) as unknown as boolean;
  }

  /** Closes the idle connections to an address that may not carry a request. */
  closeUnusable({host, port}: Address, replyId: ReplyId | undefined): void {
    const idle = this.freeSockets[this.getName({host, port})] ?? [];
    const boundedId = replyId && makeBoundedId(replyId.value);
    for (const socket of [...idle]) {
      const isUsable =
        this.connections.get(socket)?.isUsableFor(boundedId) ?? true;
      if (socket.destroyed || !isUsable) closeAtOnce(socket);
    }
  }

  /** Closes the idle connections to one address. */
  closeIdle(host: string, port: number): void {
    const prefix = `${host}:${port}:`;
    for (const [name, sockets] of Object.entries(this.freeSockets)) {
      if (!name.startsWith(prefix)) continue;
      for (const socket of [...(sockets ?? [])]) closeAtOnce(socket);
    }
  }

  /** Counts the late replies that were discarded. */
  countLateReplies(): number {
    return this.counter.lateReplies;
  }

  /** Counts the connections that were closed for bytes that are no reply. */
  countMalformedReplies(): number {
    return this.counter.malformedReplies;
  }
}

/** Counts and logs the replies that were not passed on. */
class ReplyCounter extends ReplyFilterListener {
  lateReplies = 0;
  malformedReplies = 0;

  override onLateReply(request: string, status: number): void {
    this.lateReplies += 1;
    logger.log('A late copy of a reply was discarded.', {request, status});
  }

  override onMalformedReply(cause: string, request: string | undefined): void {
    this.malformedReplies += 1;
    logger.log('A connection is closed: its bytes are no reply.', {
      request,
      cause,
    });
  }
}

/**
 * Closes an idle connection and removes it from its pool, which otherwise could
 * still give it to a request before the close is noticed.
 */
function closeAtOnce(stream: Duplex): void {
  stream.destroy();
  stream.emit('agentRemove');
}
