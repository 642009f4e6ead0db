import {Agent, type ClientRequestArgs} from 'node:http';
import type {Duplex} from 'node:stream';
import {Socket} from 'node:net';
import {SocketBytes} from './socket_bytes.js';

const MAX_IDLE_SOCKETS_PER_ORIGIN = 64;
const KEEP_ALIVE_PROBE_MS = 1000;
/** A shorter time that the other end announces takes its place. */
const MAX_IDLE_MS = 10_000;

type ConnectionCallback = (error: Error | null, stream: Duplex) => void;

/** Kept connections to other processes, counted in bytes. */
export class ConnectionPool extends Agent {
  readonly bytes = new SocketBytes();

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

  /** Closes idle connections to an address whose peer was found silent. */
  closeIdle(host: string, port: number): void {
    const prefix = `${host}:${port}:`;
    for (const [name, sockets] of Object.entries(this.freeSockets)) {
      if (!name.startsWith(prefix)) continue;
      for (const socket of sockets ?? []) socket.destroy();
    }
  }
}
