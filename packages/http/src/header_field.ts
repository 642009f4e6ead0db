import {MalformedReplyError} from './malformed_reply_error.js';

/** A name is a token, and the colon follows it at once. */
const FIELD_LINE = /^([!#$%&'*+\-.^_`|~0-9A-Za-z]+):(.*)$/s;

/** One line of a head or of trailers. */
export interface HeaderField {
  /** In lower case. */
  readonly name: string;
  /** In latin1, without the blanks around it. */
  readonly value: string;
}

/**
 * Parses a line without control bytes. A folded line has no name and fails: RFC
 * 9112 forbids folding, and readers disagree on what it continues.
 */
export function parseHeaderField(line: string): HeaderField {
  const [, name, value] = FIELD_LINE.exec(line) ?? [];
  if (name === undefined || value === undefined) {
    throw new MalformedReplyError('a header line is malformed');
  }
  return {name: name.toLowerCase(), value: removeBlanks(value)};
}

/** Unlike `trim`, leaves bytes above 0x7f, of which 0xa0 is a blank in latin1. */
function removeBlanks(text: string): string {
  let start = 0;
  let end = text.length;
  while (start < end && isBlank(text[start])) start += 1;
  while (end > start && isBlank(text[end - 1])) end -= 1;
  return text.slice(start, end);
}

function isBlank(character: string | undefined): boolean {
  return character === ' ' || character === '\t';
}
