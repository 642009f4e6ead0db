import {STATUS_CODES} from 'node:http';
import type {Socket} from 'node:net';
import {processMalformedRequests} from './malformed_requests.js';
import type {OutgoingHeaders} from './outgoing_request.js';

const STATUS_BY_ERROR_CODE: Readonly<Record<string, number>> = {
  HPE_HEADER_OVERFLOW: 431,
  HPE_CHUNK_EXTENSIONS_OVERFLOW: 413,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};
const DEFAULT_STATUS = 400;

/**
 * Sends a 4xx reply to input that is not a valid HTTP request, then closes the
 * connection.
 */
export function answerMalformed(
  socket: Socket,
  error: Error & {readonly code?: string},
  headers: OutgoingHeaders = {},
): void {
  const status = STATUS_BY_ERROR_CODE[error.code ?? ''] ?? DEFAULT_STATUS;
  processMalformedRequests.record(status, error.code ?? error.message);
  answerUnread(socket, status, headers);
}

/**
 * Sends a reply to a request that is not read to its end, then closes the
 * connection. Nothing of another reply may have been written.
 */
export function answerUnread(
  socket: Socket,
  status: number,
  headers: OutgoingHeaders = {},
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
  socket.end(`${lines.join('\r\n')}\r\n\r\n${body}`, () => socket.destroy());
}
