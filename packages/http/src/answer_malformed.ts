import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import type {OutgoingHeaders} from './outgoing_request.js';

const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
};
const DEFAULT_STATUS = 400;
const TIMEOUT_STATUS = 408;
const UNAVAILABLE_STATUS = 503;
const RETRY_HEADERS: OutgoingHeaders = {'retry-after': '1'};
/**
 * Time in which a client may read a reply to a request that was not read. If the
 * connection is closed while the client still sends, its reply may be lost.
 */
const LINGER_MS = 1000;

/**
 * Sends a 4xx reply to input that is not a valid HTTP request, then closes the
 * connection. Nothing of it may be parsed any more.
 *
 * @param code Node's code of the error
 */
export function answerMalformed(
  socket: Socket,
  code: string,
  headers: OutgoingHeaders = {},
): void {
  const status = STATUS_BY_ERROR_CODE[code] ?? DEFAULT_STATUS;
  answerUnread(socket, status, headers, LINGER_MS);
}

/**
 * Sends a 408 to a client that takes too long to send its request, then closes
 * the connection. Nothing of the request may be parsed any more, since 408
 * guarantees that it is not run.
 */
export function answerTimeout(socket: Socket, headers: OutgoingHeaders): void {
  const all = {...headers, ...RETRY_HEADERS};
  answerUnread(socket, TIMEOUT_STATUS, all, LINGER_MS);
}

/** Sends a 503 to a request that a new connection may be able to receive. */
export function answerOutdated(socket: Socket): void {
  answerUnread(socket, UNAVAILABLE_STATUS, RETRY_HEADERS, LINGER_MS);
}

/** Sends a 503 to a request that is not read to its end, then closes at once. */
export function answerUnavailable(socket: Socket): void {
  answerUnread(socket, UNAVAILABLE_STATUS, RETRY_HEADERS, 0);
}

/**
 * Sends a reply to a request that is not read to its end, then closes the
 * connection. Nothing of another reply may have been written.
 */
function answerUnread(
  socket: Socket,
  status: number,
  headers: OutgoingHeaders,
  lingerMs: number,
): void {
  if (!socket.writable || socket.destroyed) {
    socket.destroy();
    return;
  }
  const reason = STATUS_CODES[status] ?? '';
  const body = JSON.stringify({error: {message: reason}});
  const lines = [
    `HTTP/1.1 ${status} ${reason}`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    'content-type: application/json',
    `content-length: ${Buffer.byteLength(body)}`,
    'connection: close',
  ];
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`, () => {
    if (lingerMs === 0) socket.destroy();
  });
  if (lingerMs === 0) return;
  const timer = setTimeout(() => socket.destroy(), lingerMs);
  socket.once('close', () => clearTimeout(timer));
}
