import type {Socket} from 'node:net';

/**
 * Closes a connection whose idle time is over, unless bytes have arrived: after a
 * suspension of the process, timers fire before received bytes are read.
 */
export function closeIfIdle(socket: Socket): void {
  const {bytesRead} = socket;
  setImmediate(() => {
    if (socket.bytesRead === bytesRead) socket.destroy();
  });
}
