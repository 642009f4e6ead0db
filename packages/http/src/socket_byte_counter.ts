import type {Socket} from 'node:net';

/** Counts the bytes of a set of sockets, including headers and closed sockets. */
export class SocketByteCounter {
  private readonly openSockets = new Set<Socket>();
  private closedBytes = 0;

  /** Adds a socket; its bytes stay counted after it closes. */
  add(socket: Socket): void {
    if (this.openSockets.has(socket)) return;
    this.openSockets.add(socket);
    socket.once('close', () => {
      this.openSockets.delete(socket);
      this.closedBytes += countBytes(socket);
    });
  }

  /** Counts the bytes read and written since this counter was created. */
  count(): number {
    let total = this.closedBytes;
    for (const socket of this.openSockets) total += countBytes(socket);
    return total;
  }

  /** Counts the sockets that are open. */
  countOpen(): number {
    return this.openSockets.size;
  }
}

function countBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
