/**
 * Makes a reply of a test's server.
 *
 * @param ids header lines that name its request
 * @param after bytes after the body, which must not be read as a reply
 */
export type MakeShape = (ids: string, after: string) => string;

const LENGTH = 'content-length: 4\r\n\r\nfull';
const CHUNKED = 'transfer-encoding: chunked';
const CHUNKS = '4\r\nfull\r\n0\r\n\r\n';

function makeHead(statusLine: string): MakeShape {
  return (ids, after) => `${statusLine}\r\n${ids}${LENGTH}${after}`;
}

function makeFields(lines: string, body = 'full'): MakeShape {
  return (ids, after) =>
    `HTTP/1.1 200 OK\r\n${ids}${lines}\r\n\r\n${body}${after}`;
}

function makeField(line: string): MakeShape {
  return makeFields(`${line}\r\ncontent-length: 4`);
}

function makeChunks(chunks: string): MakeShape {
  return makeFields(CHUNKED, chunks);
}

/** Replies that are malformed, by the part that is. */
export const MALFORMED_SHAPES: Readonly<
  Record<string, Readonly<Record<string, MakeShape>>>
> = {
  'status line': {
    'status 000': makeHead('HTTP/1.1 000 X'),
    'status 099': makeHead('HTTP/1.1 099 X'),
    'status 600': makeHead('HTTP/1.1 600 X'),
    'status 1000': makeHead('HTTP/1.1 1000 X'),
    'status 20x': makeHead('HTTP/1.1 20x X'),
    'status 20': makeHead('HTTP/1.1 20 X'),
    'no status': makeHead('HTTP/1.1 OK'),
    'status 101': makeHead('HTTP/1.1 101 Switching Protocols'),
    'two blanks': makeHead('HTTP/1.1  200 OK'),
    'a tab': makeHead('HTTP/1.1\t200 OK'),
    'a blank first': makeHead(' HTTP/1.1 200 OK'),
    'an empty line first': makeHead('\r\nHTTP/1.1 200 OK'),
    'version 1.2': makeHead('HTTP/1.2 200 OK'),
    'version 2.0': makeHead('HTTP/2.0 200 OK'),
    'version 0.9': makeHead('HTTP/0.9 200 OK'),
    'version 11': makeHead('HTTP/11 200 OK'),
    'lower case': makeHead('http/1.1 200 OK'),
    'protocol RTSP': makeHead('RTSP/1.0 200 OK'),
    'protocol ICE': makeHead('ICE/1.0 200 OK'),
    'a control byte in the reason': makeHead('HTTP/1.1 200 O\x01K'),
    'a delete byte in the reason': makeHead('HTTP/1.1 200 O\x7fK'),
    'a return in the reason': makeHead('HTTP/1.1 200 O\rK'),
    'a newline only': ids => `HTTP/1.1 200 OK\n${ids}${LENGTH}`,
    'other bytes without an end': () => 'none',
  },
  'header field': {
    'a blank in its name': makeField('a b: c'),
    'a tab in its name': makeField('a\tb: c'),
    'a control byte in its name': makeField('a\x02b: c'),
    'a high byte in its name': makeField('a\xe9b: c'),
    'a separator in its name': makeField('a(b): c'),
    'a blank before the colon': makeField('a : c'),
    'a tab before the colon': makeField('a\t: c'),
    'a blank before its name': makeField('a: b\r\n c: d'),
    'a blank before the first name': ids =>
      `HTTP/1.1 200 OK\r\n a: b\r\n${ids}${LENGTH}`,
    'a folded line': makeField('a: b\r\n\tc'),
    'no colon': makeField('abc'),
    'no name': makeField(': c'),
    'a control byte in its value': makeField('a: b\x00c'),
    'a delete byte in its value': makeField('a: b\x7fc'),
    'a return in its value': makeField('a: b\rc'),
    'a newline only': makeField('a: b\nc: d'),
    'a blank before the colon of a length': makeFields('content-length : 4'),
    'a blank before the colon of a coding': makeFields(
      'transfer-encoding : chunked\r\ncontent-length: 4',
    ),
    'a folded coding': makeFields('content-length: 4\r\nx:\r\n chunked'),
  },
  framing: {
    'two lengths': makeFields('content-length: 4\r\ncontent-length: 9'),
    'the same length twice': makeFields(
      'content-length: 4\r\ncontent-length: 4',
    ),
    'a list of lengths': makeFields('content-length: 4, 4'),
    'a length with a sign': makeFields('content-length: +4'),
    'a length with a fraction': makeFields('content-length: 4.0'),
    'a length in hexadecimal': makeFields('content-length: 0x4'),
    'an empty length': makeFields('content-length:', ''),
    'a length out of range': makeFields('content-length: 9'.padEnd(40, '0')),
    'a length and chunks': makeFields(
      `content-length: 4\r\n${CHUNKED}`,
      CHUNKS,
    ),
    'chunks and a length': makeFields(
      `${CHUNKED}\r\ncontent-length: 4`,
      CHUNKS,
    ),
    'chunked twice': makeFields(`${CHUNKED}, chunked`, CHUNKS),
    'chunked in two fields': makeFields(`${CHUNKED}\r\n${CHUNKED}`, CHUNKS),
    'chunked not last': makeFields(`${CHUNKED}, gzip`, CHUNKS),
    'another coding first': makeFields(
      'transfer-encoding: gzip, chunked',
      CHUNKS,
    ),
    'another coding': makeFields('transfer-encoding: gzip', ''),
    'a coding with a parameter': makeFields(`${CHUNKED};q=1`, CHUNKS),
    'an empty coding': makeFields('transfer-encoding:\r\ncontent-length: 4'),
    'chunks in HTTP/1.0': (ids, after) =>
      `HTTP/1.0 200 OK\r\n${ids}connection: keep-alive\r\n${CHUNKED}\r\n\r\n${CHUNKS}${after}`,
    'a body of status 204': makeHead('HTTP/1.1 204 No Content'),
    'chunks of status 204': (ids, after) =>
      `HTTP/1.1 204 No Content\r\n${ids}${CHUNKED}\r\n\r\n${CHUNKS}${after}`,
    'a body of status 103': makeHead('HTTP/1.1 103 Early Hints'),
  },
  chunk: {
    'no size': makeChunks('\r\nfull\r\n0\r\n\r\n'),
    'a size that is no number': makeChunks('zz\r\nfull\r\n0\r\n\r\n'),
    'a size with a sign': makeChunks('+4\r\nfull\r\n0\r\n\r\n'),
    'a size with a prefix': makeChunks('0x4\r\nfull\r\n0\r\n\r\n'),
    'a blank before its size': makeChunks(' 4\r\nfull\r\n0\r\n\r\n'),
    'a blank after its size': makeChunks('4 \r\nfull\r\n0\r\n\r\n'),
    'a size and other text': makeChunks('4x\r\nfull\r\n0\r\n\r\n'),
    'a size out of range': makeChunks('fffffffffffffffff\r\nfull\r\n'),
    'a control byte in its extension': makeChunks(
      '4;a\x01\r\nfull\r\n0\r\n\r\n',
    ),
    'a return in its extension': makeChunks('4;a\rb\r\nfull\r\n0\r\n\r\n'),
    'a newline only after its size': makeChunks('4\nfull\r\n0\r\n\r\n'),
    'more data than its size': makeChunks('4\r\nfuller\r\n0\r\n\r\n'),
    'no line end after its data': makeChunks('4\r\nfull0\r\n\r\n'),
    'other bytes for a line end': makeChunks('4\r\nfullxx0\r\n\r\n'),
    'a newline only after its data': makeChunks('4\r\nfull\n0\r\n\r\n'),
  },
  trailer: {
    'a blank in its name': makeChunks('4\r\nfull\r\n0\r\na b: c\r\n\r\n'),
    'a control byte': makeChunks('4\r\nfull\r\n0\r\na: \x01\r\n\r\n'),
    'no colon': makeChunks('4\r\nfull\r\n0\r\nabc\r\n\r\n'),
    'a folded line': makeChunks('4\r\nfull\r\n0\r\na: b\r\n c\r\n\r\n'),
    'a newline only': makeChunks('4\r\nfull\r\n0\r\na: b\n\r\n'),
    'a length': makeChunks('4\r\nfull\r\n0\r\ncontent-length: 4\r\n\r\n'),
    'a coding': makeChunks(`4\r\nfull\r\n0\r\n${CHUNKED}\r\n\r\n`),
  },
};

/** Replies that are served, without those that end with their connection. */
export const SOUND_SHAPES: Readonly<Record<string, MakeShape>> = {
  'a length': makeFields('content-length: 4'),
  'blanks around a length': makeFields('Content-Length: \t4  '),
  'a length with zeros': makeFields('content-length: 0004'),
  'chunks of several kinds': makeChunks(
    '2;a;b=c;d="e\\" f"\r\nfu\r\n002\r\nll\r\n0\r\n\r\n',
  ),
  'a coding in mixed case': makeFields('Transfer-Encoding: Chunked ', CHUNKS),
  trailers: makeChunks('4\r\nfull\r\n0\r\na: b\r\nc:\r\n\r\n'),
  'every token character': makeField(
    "!#$%&'*+-.^_`|~09AZaz: x\r\n1: y\r\n_: z",
  ),
  'empty values': makeField('a:\r\nb: \r\nc:\t'),
  'a tab and high bytes in a value': makeField('a: b\tc\x80\xa0\xe9\xff'),
  'no reason': makeHead('HTTP/1.1 200 '),
  'no blank after the status': makeHead('HTTP/1.1 200'),
  'high bytes in the reason': makeHead('HTTP/1.1 200 \xe9\t\xff'),
  'interim heads': (ids, after) =>
    `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\na: b\r\n\r\nHTTP/1.1 200 OK\r\n${ids}${LENGTH}${after}`,
};

/** Replies that are served and after which the connection is closed. */
export const LAST_SHAPES: Readonly<Record<string, MakeShape>> = {
  'the end of the connection': makeFields('a: b'),
  'a length in HTTP/1.0': makeHead('HTTP/1.0 200 OK'),
  'the end of the connection in HTTP/1.0': ids =>
    `HTTP/1.0 200 OK\r\n${ids}\r\nfull`,
};

/** Makes sound replies whose bodies hold another reply. */
export function makeNestedReplies(ids: string, body: string): string[] {
  const {length} = body;
  const chunk = `${length.toString(16)};a=b\r\n${body}\r\n`;
  return [
    makeFields(`a: b\r\ncontent-length: ${length}`, body)(ids, ''),
    makeFields(CHUNKED, `${chunk}${chunk}0\r\na: b\r\n\r\n`)(ids, ''),
    `HTTP/1.1 100 Continue\r\n\r\n${makeFields(CHUNKED, `${chunk}0\r\n\r\n`)(ids, '')}`,
  ];
}
