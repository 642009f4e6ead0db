import {MalformedReplyError} from './malformed_reply_error.js';

const TAB = 0x09;
const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const SPACE = 0x20;
const DELETE = 0x7f;

/**
 * Reads lines that end with CR LF, in pieces of any length. Fails at the first
 * control byte: an invalid line may never end.
 */
export class LineReader {
  private text = '';
  private isAfterReturn = false;
  private length = 0;

  /** @param maxBytes of all lines together, with their ends */
  constructor(private readonly maxBytes: number) {}

  /**
   * Reads on in a line. Returns the index after its end; undefined if it goes on
   * after these bytes.
   */
  read(bytes: Buffer, start: number): number | undefined {
    for (let at = start; at < bytes.length; at += 1) {
      const byte = bytes[at] ?? NEWLINE;
      this.countByte();
      if (this.isAfterReturn !== (byte === NEWLINE)) {
        throw new MalformedReplyError('a line does not end with CR LF');
      }
      this.isAfterReturn = byte === CARRIAGE_RETURN;
      if (byte === NEWLINE) {
        this.text += bytes.toString('latin1', start, at);
        return at + 1;
      }
      if (isControl(byte)) {
        throw new MalformedReplyError('a line contains a control byte');
      }
    }
    this.text += bytes.toString('latin1', start);
    return undefined;
  }

  /** Returns what was read of the current line, in latin1. */
  getText(): string {
    return this.text;
  }

  /** Returns the line that was read, in latin1 and without its end. */
  takeLine(): string {
    const line = this.text.slice(0, -1);
    this.text = '';
    return line;
  }

  private countByte(): void {
    this.length += 1;
    if (this.length > this.maxBytes) {
      throw new MalformedReplyError(`lines exceed ${this.maxBytes} bytes`);
    }
  }
}

function isControl(byte: number): boolean {
  if (byte === TAB || byte === CARRIAGE_RETURN) return false;
  return byte < SPACE || byte === DELETE;
}
