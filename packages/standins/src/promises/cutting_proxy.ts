import {createServer, connect, type Server, type Socket} from 'node:net';
import type {Address} from '@greengagecross/common';

/** A TCP relay that destroys connections after a number of reply bytes. */
export class CuttingProxy {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private cuts: number[] = [];
  private replied: Buffer[] = [];

  constructor(
    readonly address: Address,
    private readonly target: Address,
  ) {
    this.server = createServer({noDelay: true}, socket => this.forward(socket));
  }

  /** Starts listening. */
  start(): Promise<void> {
    const {host, port} = this.address;
    return new Promise(resolve =>
      this.server.listen(port, host, () => resolve()),
    );
  }

  /** Sets after how many reply bytes the next connections are cut, in turn. */
  setCuts(cuts: readonly number[]): void {
    this.cuts = [...cuts];
    this.replied = [];
    for (const socket of this.sockets) socket.destroy();
  }

  /** Gets the reply bytes since the cuts were set. */
  getReplied(): Buffer {
    return Buffer.concat(this.replied);
  }

  /** Stops listening and closes every connection. */
  stop(): void {
    this.server.close();
    for (const socket of this.sockets) socket.destroy();
  }

  private forward(socket: Socket): void {
    const {host, port} = this.target;
    const upstream = connect({port, host, noDelay: true});
    let left: number | undefined;
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
      left ??= this.takeCut(chunk);
      upstream.write(chunk);
    });
    upstream.on('data', chunk => {
      const most = Math.max(0, left ?? 0);
      const passed = chunk.subarray(0, Math.min(most, chunk.length));
      this.replied.push(passed);
      left = most - chunk.length;
      if (passed.length > 0) socket.write(passed);
      if (left <= 0) close();
    });
  }

  /** Cancelling calls are not cut: they come at any time. */
  private takeCut(firstBytes: Buffer): number {
    const isCancel = firstBytes.toString('latin1').startsWith('DELETE');
    const cut = isCancel ? undefined : this.cuts.shift();
    return cut ?? Number.POSITIVE_INFINITY;
  }
}
