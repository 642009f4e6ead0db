import type {Server} from 'node:http';
import type {Socket} from 'node:net';

/** Limit of a listener that was given no higher one. */
export const DEFAULT_MAX_HEADER_BYTES = 16 * 1024;

/**
 * Limit on the headers of a request. Node's parser takes it from its server when
 * a connection begins, and keeps it.
 */
export class HeaderLimit {
  private bytes = DEFAULT_MAX_HEADER_BYTES;
  private readonly outdated = new WeakSet<Socket>();

  /**
   * Sets the limit of new connections; one below the default doesn't apply.
   *
   * @param open connections that keep the limit that they have
   */
  set(server: Server, bytes: number, open: Iterable<Socket>): void {
    const newBytes = Math.max(bytes, DEFAULT_MAX_HEADER_BYTES);
    if (newBytes === this.bytes) return;
    if (newBytes > this.bytes) {
      for (const socket of open) this.outdated.add(socket);
    }
    this.bytes = newBytes;
    Object.assign(server, {maxHeaderSize: newBytes});
  }

  /** Returns whether a connection may have a lower limit than new ones. */
  isOutdated(socket: Socket): boolean {
    return this.outdated.has(socket);
  }
}
