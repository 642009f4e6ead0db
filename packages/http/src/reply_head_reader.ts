import {parseHeaderField, type HeaderField} from './header_field.js';
import {LineReader} from './line_reader.js';
import {MalformedReplyError} from './malformed_reply_error.js';
import {ReplyHead} from './reply_head.js';

/** Node accepts no longer head. */
const MAX_HEAD_BYTES = 16 * 1024;
const STATUS_LINE_START = 'HTTP/1.';
const STATUS_LINE_INSIDE = /HTTP\/1\.[01] \d{3}/;

/** Reads the head of one reply, in pieces of any length. */
export class ReplyHeadReader {
  private readonly lines = new LineReader(MAX_HEAD_BYTES);
  private readonly fields: HeaderField[] = [];
  private statusLine: string | undefined;
  private head: ReplyHead | undefined;

  /**
   * @param mayFollowPart whether these bytes may follow a part of another head,
   *     so that a status line inside of this one begins the reply
   */
  constructor(private readonly mayFollowPart: boolean) {}

  /** Returns the complete head; undefined before its end was read. */
  getHead(): ReplyHead | undefined {
    return this.head;
  }

  /** Reads bytes of the head; returns the index after the last one read. */
  read(bytes: Buffer, start: number): number {
    let at = start;
    while (at < bytes.length && this.head === undefined) {
      const end = this.lines.read(bytes, at);
      this.checkStart();
      if (end === undefined) return bytes.length;
      this.applyLine(this.lines.takeLine());
      at = end;
    }
    return at;
  }

  /** Fails as soon as the first bytes are no status line, which may never end. */
  private checkStart(): void {
    if (this.statusLine !== undefined) return;
    const start = this.lines.getText().slice(0, STATUS_LINE_START.length);
    if (STATUS_LINE_START.startsWith(start)) return;
    throw new MalformedReplyError('the status line is malformed');
  }

  private applyLine(line: string): void {
    if (this.statusLine === undefined) {
      this.checkInside(line.slice(1));
      this.statusLine = line;
      return;
    }
    if (line === '') {
      this.head = new ReplyHead(this.statusLine, this.fields);
      return;
    }
    this.checkInside(line);
    this.fields.push(parseHeaderField(line));
  }

  private checkInside(text: string): void {
    if (!this.mayFollowPart || !STATUS_LINE_INSIDE.test(text)) return;
    throw new MalformedReplyError('a head begins inside of another');
  }
}
