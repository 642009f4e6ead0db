import {createServer, connect, type Server, type Socket} from 'node:net';
import type {Address} from '@greengagecross/common';

/** A TCP relay that closes connections after a set number of reply bytes. */
export class DisconnectingProxy {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private byteLimits: number[] = [];
  private replyChunks: Buffer[] = [];

  constructor(
    readonly address: Address,
    private readonly target: Address,
  ) {
    this.server = createServer({noDelay: true}, socket => this.forward(socket));
  }

  /** Starts listening on the proxy's address. */
  start(): Promise<void> {
    const {host, port} = this.address;
    return new Promise(resolve =>
      this.server.listen(port, host, () => resolve()),
    );
  }

  /**
   * Sets after how many reply bytes each of the next connections is closed, and
   * closes the open ones. Connections beyond the list are not limited.
   */
  setReplyByteLimits(byteLimits: readonly number[]): void {
    this.byteLimits = [...byteLimits];
    this.replyChunks = [];
    for (const socket of this.sockets) socket.destroy();
  }

  /** Returns the reply bytes relayed since the limits were set. */
  getReplyBytes(): Buffer {
    return Buffer.concat(this.replyChunks);
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private forward(socket: Socket): void {
    const {host, port} = this.target;
    const upstream = connect({port, host, noDelay: true});
    let bytesLeft: number | undefined;
    const close = (): void => {
      socket.destroySoon();
      upstream.destroy();
    };
    for (const end of [socket, upstream]) {
      this.sockets.add(end);
      end.on('error', close);
      end.once('close', () => {
        this.sockets.delete(end);
        close();
      });
    }
    socket.on('data', chunk => {
      bytesLeft ??= this.takeByteLimit(chunk);
      upstream.write(chunk);
    });
    upstream.on('data', chunk => {
      const maxBytes = Math.max(0, bytesLeft ?? 0);
      const relayed = chunk.subarray(0, Math.min(maxBytes, chunk.length));
      this.replyChunks.push(relayed);
      bytesLeft = maxBytes - chunk.length;
      if (relayed.length > 0) socket.write(relayed);
      if (bytesLeft <= 0) close();
    });
  }

  /** Cancel requests get no limit: they can arrive between any two others. */
  private takeByteLimit(firstBytes: Buffer): number {
    const isCancel = firstBytes.toString('latin1').startsWith('DELETE');
    const limit = isCancel ? undefined : this.byteLimits.shift();
    return limit ?? Number.POSITIVE_INFINITY;
  }
}
