/** Header by which replies of a test's server name their request. */
export const REPLY_ID_HEADER = 'x-id';

/** Makes a reply with the header lines that name its request. */
export type MakeReply = (idLines: string) => string;

/** Replies of a test's server, by the words of the steps. */
export const REPLIES: Readonly<Record<string, MakeReply>> = {
  'without a body': ids => `HTTP/1.1 200 OK\r\n${ids}content-length: 0\r\n\r\n`,
  'of some length': ids =>
    `HTTP/1.1 200 OK\r\n${ids}content-length: 4\r\n\r\nfull`,
  'of 20 kB': ids =>
    `HTTP/1.1 200 OK\r\n${ids}content-length: 20000\r\n\r\n${'y'.repeat(20_000)}`,
  'in chunks with trailers': ids =>
    `HTTP/1.1 200 OK\r\n${ids}transfer-encoding: chunked\r\n\r\n` +
    'a;x=y\r\n0123456789\r\n1\r\nz\r\n0\r\nt: 1\r\nu: 2\r\n\r\n',
  'of status 204': ids => `HTTP/1.1 204 No Content\r\n${ids}\r\n`,
  'after an informational head': ids =>
    `HTTP/1.1 103 Early Hints\r\nx: y\r\n\r\nHTTP/1.1 200 OK\r\n${ids}content-length: 2\r\n\r\nok`,
  'with its names in upper case': ids =>
    `HTTP/1.1 200 OK\r\n${ids.replace('x-id:', 'X-ID:')}CONTENT-LENGTH: 2\r\n\r\nok`,
  'with a length that is no number': ids =>
    `HTTP/1.1 200 OK\r\n${ids}content-length: x\r\n\r\nfull`,
  'with chunks that are malformed': ids =>
    `HTTP/1.1 200 OK\r\n${ids}transfer-encoding: chunked\r\n\r\nzz\r\nfull\r\n0\r\n\r\n`,
};

/** Computes how much of a reply is left when it is cut short somewhere. */
export function computeCut(reply: string, where: string): number {
  const headEnd = reply.indexOf('\r\n\r\n');
  switch (where) {
    case 'in its first line':
      return 'HTTP/1.1 2'.length;
    case 'before its id':
      return reply.indexOf(`${REPLY_ID_HEADER}:`);
    case 'after its id':
      return reply.indexOf('x-send:');
    default:
      return headEnd + '\r\n\r\nfu'.length;
  }
}
