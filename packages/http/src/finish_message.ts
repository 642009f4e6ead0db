import type {OutgoingMessage} from 'node:http';

/** Longest Buffer that is copied to send it in one write with the headers. */
const MAX_SINGLE_WRITE_BYTES = 8 * 1024;

/**
 * Ends a message with its complete body.
 *
 * Node sends headers and a string body in one write, but headers and a Buffer
 * in several. A short Buffer is therefore sent as a latin1 string, which
 * preserves every byte.
 */
export function finishMessage(
  message: OutgoingMessage,
  body: string | Buffer | undefined,
): void {
  if (body === undefined || body.length === 0) {
    message.end();
  } else if (typeof body === 'string' || body.length > MAX_SINGLE_WRITE_BYTES) {
    message.end(body);
  } else {
    message.end(body.toString('latin1'), 'latin1');
  }
}
