import type {ReplyHeadText} from './reply_head_text.js';

const NEWLINE = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const BODILESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);
const LENGTH_PATTERN = /^\d{1,15}$/;
const CHUNK_SIZE_PATTERN = /^[0-9a-f]{1,8}/i;
/** Longest line between chunks, in bytes. */
const MAX_LINE_BYTES = 256;

/** Finds the end of a reply body that is not used. */
export abstract class BodySkipper {
  /** Skips bytes of the body; returns how many of these belonged to it. */
  abstract discard(bytes: Buffer): number;

  /** Returns whether the body has ended. */
  abstract isDone(): boolean;

  /** Returns whether the end of the body cannot be found. */
  isMalformed(): boolean {
    return false;
  }
}

class LengthSkipper extends BodySkipper {
  constructor(private remaining: number) {
    super();
  }

  override discard(bytes: Buffer): number {
    const count = Math.min(this.remaining, bytes.length);
    this.remaining -= count;
    return count;
  }

  override isDone(): boolean {
    return this.remaining === 0;
  }
}

/** What the next byte of a chunked body belongs to. */
enum ChunkPart {
  SIZE_LINE,
  /** The bytes of a chunk with the line end after them. */
  DATA,
  TRAILER_LINE,
  END,
  /** Bytes that are no chunks, so that the end cannot be found. */
  MALFORMED,
}

class ChunkSkipper extends BodySkipper {
  private part = ChunkPart.SIZE_LINE;
  private remaining = 0;
  private line = '';

  override discard(bytes: Buffer): number {
    let at = 0;
    while (at < bytes.length && !this.isDone()) {
      if (this.part === ChunkPart.MALFORMED) return bytes.length;
      if (this.part === ChunkPart.DATA) {
        const count = Math.min(this.remaining, bytes.length - at);
        this.remaining -= count;
        at += count;
        if (this.remaining === 0) this.part = ChunkPart.SIZE_LINE;
        continue;
      }
      this.addToLine(bytes[at] ?? NEWLINE);
      at += 1;
    }
    return at;
  }

  override isDone(): boolean {
    return this.part === ChunkPart.END;
  }

  override isMalformed(): boolean {
    return this.part === ChunkPart.MALFORMED;
  }

  private addToLine(byte: number): void {
    if (byte === NEWLINE) {
      this.applyLine(this.line);
      this.line = '';
      return;
    }
    if (byte !== CARRIAGE_RETURN) this.line += String.fromCharCode(byte);
    if (this.line.length > MAX_LINE_BYTES) this.part = ChunkPart.MALFORMED;
  }

  private applyLine(line: string): void {
    if (this.part === ChunkPart.TRAILER_LINE) {
      if (line === '') this.part = ChunkPart.END;
      return;
    }
    const size = CHUNK_SIZE_PATTERN.exec(line)?.[0];
    if (size === undefined) {
      this.part = ChunkPart.MALFORMED;
      return;
    }
    const length = Number.parseInt(size, 16);
    this.part = length === 0 ? ChunkPart.TRAILER_LINE : ChunkPart.DATA;
    this.remaining = length + '\r\n'.length;
  }
}

/**
 * Makes the skipper for a reply; undefined if its body has no known end, or has
 * more bytes than the limit.
 *
 * @param isBodiless whether the reply has no body whatever its head says
 */
export function makeBodySkipper(
  head: ReplyHeadText,
  isBodiless: boolean,
  limitBytes: number,
): BodySkipper | undefined {
  if (isBodiless || BODILESS_STATUSES.has(head.status)) {
    return new LengthSkipper(0);
  }
  const encoding = head.findHeader('transfer-encoding');
  if (encoding !== undefined) {
    return encoding.toLowerCase() === 'chunked'
      ? new ChunkSkipper()
      : undefined;
  }
  const length = head.findHeader('content-length') ?? '';
  const isKnown = LENGTH_PATTERN.test(length) && Number(length) <= limitBytes;
  return isKnown ? new LengthSkipper(Number(length)) : undefined;
}
