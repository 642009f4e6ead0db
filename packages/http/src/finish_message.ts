import type {OutgoingMessage} from 'node:http';

/** Longest body that is copied to leave in one write with its headers. */
const MAX_JOINED_BYTES = 8 * 1024;

/**
 * Finishes a message with its whole body.
 *
 * Node joins headers with a string, and sends a Buffer beside them as several
 * pieces; latin1 keeps every byte of a short body as it is.
 */
export function finishMessage(
  message: OutgoingMessage,
  body: string | Buffer | undefined,
): void {
  if (body === undefined || body.length === 0) {
    message.end();
  } else if (typeof body === 'string' || body.length > MAX_JOINED_BYTES) {
    message.end(body);
  } else {
    message.end(body.toString('latin1'), 'latin1');
  }
}
