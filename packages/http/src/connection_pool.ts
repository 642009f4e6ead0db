import {Agent, type ClientRequest, type ClientRequestArgs} from 'node:http';
import type {Duplex} from 'node:stream';
import {Socket} from 'node:net';
import type {ReplyId} from './outgoing_request.js';
import {PooledConnection, type ConnectionUse} from './pooled_connection.js';
import {SocketByteCounter} from './socket_byte_counter.js';

const MAX_IDLE_SOCKETS_PER_ORIGIN = 64;
const KEEP_ALIVE_PROBE_MS = 1000;
/** A shorter time in a reply's `keep-alive` header takes precedence. */
const MAX_IDLE_MS = 10_000;

type ConnectionCallback = (error: Error | null, stream: Duplex) => void;

/**
 * Keep-alive connections to other processes, with a count of their bytes.
 *
 * Bytes that arrive on an idle connection belong to no request: a faulty server
 * may send a reply twice. The connection is closed, because Node would drop
 * them, or pass the part that arrives later to the next request.
 */
export class ConnectionPool extends Agent {
  readonly bytes = new SocketByteCounter();
  private readonly connections = new WeakMap<Duplex, PooledConnection>();

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
  startRequest(stream: Duplex, replyId: ReplyId | undefined): ConnectionUse {
    const connection = this.connections.get(stream) ?? new PooledConnection();
    this.connections.set(stream, connection);
    return connection.startRequest(replyId);
  }

  /** Node calls this when a connection becomes idle. */
  override keepSocketAlive(stream: Duplex): boolean {
    stream.once('data', closeOnData);
    // Node returns whether the connection may be kept; its types say void.
    return super.keepSocketAlive(stream) as unknown as boolean;
  }

  /** Node calls this when an idle connection gets its next request. */
  override reuseSocket(stream: Duplex, request: ClientRequest): void {
    stream.off('data', closeOnData);
    super.reuseSocket(stream, request);
  }

  /** Closes the idle connections to one address. */
  closeIdle(host: string, port: number): void {
    const prefix = `${host}:${port}:`;
    for (const [name, sockets] of Object.entries(this.freeSockets)) {
      if (!name.startsWith(prefix)) continue;
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}

function closeOnData(this: Duplex): void {
  this.destroy();
}
