/** Events of a stream that arrived whole. */
export interface WholeEvents {
  /** The events' bytes, unchanged; empty when no event is whole yet. */
  readonly bytes: Buffer;
  /** Id of the last of them; undefined when none had one. */
  readonly lastId?: string;
}

/** A larger event is no event of an engine, in bytes. */
const MAX_EVENT_BYTES = 1024 * 1024;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);

/**
 * Cuts the bytes of an event stream after whole events, since an engine may
 * break off in the middle of one.
 */
export class EventSplitter {
  private rest: Buffer = EMPTY;

  /**
   * @param skippedId events up to this id are left out: the client has them
   */
  constructor(private skippedId?: string) {}

  /** Takes in bytes; gives the events that are whole now. */
  accept(chunk: Buffer): WholeEvents {
    const bytes =
      this.rest.length === 0 ? chunk : Buffer.concat([this.rest, chunk]);
    const end = findLastEnd(bytes);
    this.rest = bytes.subarray(end);
    if (this.rest.length > MAX_EVENT_BYTES) {
      throw new Error('an event is larger than the limit');
    }
    const whole = bytes.subarray(0, end);
    if (end === 0) return {bytes: EMPTY};
    return this.skippedId === undefined
      ? makeWhole(whole)
      : this.removeKnown(whole);
  }

  /** Tells whether bytes of an event are left that never became whole. */
  hasRest(): boolean {
    return this.rest.length > 0;
  }

  private removeKnown(whole: Buffer): WholeEvents {
    const known = Number(this.skippedId);
    const kept: Buffer[] = [];
    let start = 0;
    while (start < whole.length) {
      const end = findFirstEnd(whole, start);
      const event = whole.subarray(start, end);
      const id = findLastId(event);
      if (id === undefined || !(Number(id) <= known)) kept.push(event);
      start = end;
    }
    return makeWhole(Buffer.concat(kept));
  }
}

function makeWhole(bytes: Buffer): WholeEvents {
  const lastId = findLastId(bytes);
  return lastId === undefined ? {bytes} : {bytes, lastId};
}

/** Finds where the last whole event ends; an empty line ends an event. */
function findLastEnd(bytes: Buffer): number {
  for (let at = bytes.length - 1; at > 0; at -= 1) {
    if (isEnd(bytes, at)) return at + 1;
  }
  return 0;
}

function findFirstEnd(bytes: Buffer, from: number): number {
  for (let at = from + 1; at < bytes.length; at += 1) {
    if (isEnd(bytes, at)) return at + 1;
  }
  return bytes.length;
}

/** Tells whether the line feed at a place ends an empty line. */
function isEnd(bytes: Buffer, at: number): boolean {
  if (bytes[at] !== LINE_FEED) return false;
  if (bytes[at - 1] === LINE_FEED) return true;
  return bytes[at - 1] === CARRIAGE_RETURN && bytes[at - 2] === LINE_FEED;
}

function findLastId(bytes: Buffer): string | undefined {
  const text = bytes.toString('latin1');
  let found: string | undefined;
  for (const match of text.matchAll(/^id: ?([^\r\n]*)/gm)) found = match[1];
  return found;
}
