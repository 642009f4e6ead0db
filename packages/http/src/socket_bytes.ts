import type {Socket} from 'node:net';

/** Counts the bytes of a set of sockets, open and closed, headers included. */
export class SocketBytes {
  private readonly open = new Set<Socket>();
  private closedBytes = 0;

  /** Adds a socket until it closes. */
  add(socket: Socket): void {
    if (this.open.has(socket)) return;
    this.open.add(socket);
    socket.once('close', () => {
      this.open.delete(socket);
      this.closedBytes += countBytes(socket);
    });
  }

  /** Counts the bytes read and written so far. */
  count(): number {
    let total = this.closedBytes;
    for (const socket of this.open) total += countBytes(socket);
    return total;
  }

  /** Counts the sockets now open. */
  countOpen(): number {
    return this.open.size;
  }
}

function countBytes(socket: Socket): number {
  return socket.bytesRead + socket.bytesWritten;
}
