import {parseHeaderField} from './header_field.js';
import {LineReader} from './line_reader.js';
import {MalformedReplyError} from './malformed_reply_error.js';
import {BodyFraming, type ReplyHead} from './reply_head.js';

/** Size of a chunk, then extensions with a token or quoted string as value. */
const CHUNK_LINE =
  /^([0-9a-f]{1,13})(?:;[!#$%&'*+\-.^_`|~0-9a-z]+(?:=(?:[!#$%&'*+\-.^_`|~0-9a-z]+|"(?:[^"\\]|\\.)*"))?)*$/is;
const CHUNK_LINE_START = /^(?:[0-9a-f]|$)/i;
const MAX_CHUNK_LINE_BYTES = 4096;
const MAX_TRAILER_BYTES = 16 * 1024;
const CHUNK_END = '\r\n';
/** Fields that belong to the head; in trailers they contradict it. */
const FRAMING_FIELDS: ReadonlySet<string> = new Set([
  'content-length',
  'transfer-encoding',
]);

/** Finds the end of a reply's body. */
export abstract class ReplyBody {
  /**
   * Reads bytes from an index on; returns the index after those of the body.
   * Throws a MalformedReplyError if its end cannot be found.
   */
  abstract read(bytes: Buffer, start: number): number;

  /** Returns whether the body has ended. */
  abstract isDone(): boolean;
}

class LengthBody extends ReplyBody {
  constructor(private remaining: number) {
    super();
  }

  override read(bytes: Buffer, start: number): number {
    const count = Math.min(this.remaining, bytes.length - start);
    this.remaining -= count;
    return start + count;
  }

  override isDone(): boolean {
    return this.remaining === 0;
  }
}

/** A body that ends with its connection. */
class UnframedBody extends ReplyBody {
  override read(bytes: Buffer): number {
    return bytes.length;
  }

  override isDone(): boolean {
    return false;
  }
}

/** What the next byte of a chunked body belongs to. */
enum ChunkPart {
  SIZE_LINE,
  DATA,
  /** The line end after the data. */
  DATA_END,
  TRAILER_LINE,
  END,
}

class ChunkedBody extends ReplyBody {
  private part = ChunkPart.SIZE_LINE;
  private data = new LengthBody(0);
  private lines = new LineReader(MAX_CHUNK_LINE_BYTES);

  override read(bytes: Buffer, start: number): number {
    let at = start;
    while (at < bytes.length && !this.isDone()) {
      at =
        this.part === ChunkPart.DATA
          ? this.readData(bytes, at)
          : this.readLine(bytes, at);
    }
    return at;
  }

  override isDone(): boolean {
    return this.part === ChunkPart.END;
  }

  private readData(bytes: Buffer, start: number): number {
    const end = this.data.read(bytes, start);
    if (this.data.isDone()) this.startLines(ChunkPart.DATA_END);
    return end;
  }

  private readLine(bytes: Buffer, start: number): number {
    const end = this.lines.read(bytes, start);
    this.checkStart();
    if (end === undefined) return bytes.length;
    this.applyLine(this.lines.takeLine());
    return end;
  }

  /** Fails as soon as a line begins with other bytes; it may never end. */
  private checkStart(): void {
    const text = this.lines.getText();
    const isSound =
      this.part === ChunkPart.DATA_END
        ? CHUNK_END.startsWith(text)
        : this.part === ChunkPart.TRAILER_LINE || CHUNK_LINE_START.test(text);
    if (!isSound) throw new MalformedReplyError('a chunk is malformed');
  }

  private applyLine(line: string): void {
    switch (this.part) {
      case ChunkPart.SIZE_LINE:
        this.applySize(line);
        break;
      case ChunkPart.DATA_END:
        this.startLines(ChunkPart.SIZE_LINE);
        break;
      default:
        this.applyTrailer(line);
    }
  }

  private applySize(line: string): void {
    const size = CHUNK_LINE.exec(line)?.[1];
    if (size === undefined) {
      throw new MalformedReplyError('the size of a chunk is malformed');
    }
    const length = Number.parseInt(size, 16);
    if (length === 0) {
      this.startLines(ChunkPart.TRAILER_LINE, MAX_TRAILER_BYTES);
      return;
    }
    this.part = ChunkPart.DATA;
    this.data = new LengthBody(length);
  }

  private applyTrailer(line: string): void {
    if (line === '') {
      this.part = ChunkPart.END;
      return;
    }
    if (FRAMING_FIELDS.has(parseHeaderField(line).name)) {
      throw new MalformedReplyError('a trailer contradicts the head');
    }
  }

  private startLines(part: ChunkPart, maxBytes = MAX_CHUNK_LINE_BYTES): void {
    this.part = part;
    this.lines = new LineReader(maxBytes);
  }
}

/**
 * Makes the reader of a reply's body.
 *
 * @param isBodiless whether the reply has no body whatever its head says
 */
export function makeReplyBody(head: ReplyHead, isBodiless: boolean): ReplyBody {
  if (isBodiless) return new LengthBody(0);
  switch (head.framing) {
    case BodyFraming.NONE:
      return new LengthBody(0);
    case BodyFraming.LENGTH:
      return new LengthBody(head.contentLength);
    case BodyFraming.CHUNKS:
      return new ChunkedBody();
    case BodyFraming.CONNECTION_END:
      return new UnframedBody();
  }
}
