import type {IncomingMessage} from 'node:http';

/** Longest unused body that is read so that its connection can be reused. */
const MAX_DISCARDED_BYTES = 64 * 1024;
/** Longest time for reading an unused body. */
const MAX_DISCARD_MS = 1000;

/**
 * Reads the rest of a body that is not used, so that its connection can be
 * reused. Closes the connection instead if the body exceeds MAX_DISCARDED_BYTES
 * or does not end within MAX_DISCARD_MS: a faulty server may send bytes until
 * the connection is closed.
 */
export function discardBody(stream: IncomingMessage): void {
  let received = 0;
  const timer = setTimeout(() => stream.destroy(), MAX_DISCARD_MS);
  timer.unref();
  stream.on('data', (chunk: Buffer | string) => {
    received += chunk.length;
    if (received > MAX_DISCARDED_BYTES) stream.destroy();
  });
  stream.on('error', () => undefined);
  stream.once('close', () => clearTimeout(timer));
}
