import {createServer, connect, type Server, type Socket} from 'node:net';
import type {Address} from '@greengagecross/common';

/** A TCP relay that can drop what one side sends. */
export class OneWayRelay {
  isDropping = false;
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();

  constructor(private readonly target: Address) {
    this.server = createServer(socket => this.relay(socket));
  }

  /** Listens on a port of this machine. */
  listen(address: Address): Promise<void> {
    return new Promise(resolve => {
      this.server.listen(address.port, address.host, resolve);
    });
  }

  /** Closes it with all of its connections. */
  close(): void {
    for (const socket of this.sockets) socket.destroy();
    this.server.close();
  }

  private relay(inner: Socket): void {
    const outer = connect(this.target.port, this.target.host);
    for (const socket of [inner, outer]) {
      this.sockets.add(socket);
      socket.on('error', () => socket.destroy());
    }
    inner.on('data', bytes => {
      if (!this.isDropping) outer.write(bytes);
    });
    outer.on('data', bytes => inner.write(bytes));
    inner.on('close', () => outer.destroy());
    outer.on('close', () => inner.destroy());
  }
}
