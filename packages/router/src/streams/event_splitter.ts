import {ByteCollector} from '@greengagecross/http';

/** Events of a stream that were received completely. */
export interface CompleteEvents {
  /** Unchanged bytes of the events; empty when no event is complete yet. */
  readonly bytes: Buffer;
  /** Id of the last event that has an id; undefined when none has. */
  readonly lastId?: string;
  /** Whether any event has data; comments and empty lines are no data. */
  readonly hasData: boolean;
}

/** Engines send no larger event; a larger one makes the reply invalid. */
const MAX_EVENT_BYTES = 1024 * 1024;
const LINE_END = /\r?\n/;
/** A field with a value, a field without one, a comment, or an empty line. */
const EVENT_LINE = /^(?:[a-z][a-z0-9-]*:.*|data|id|event|retry|:.*|)$/;
const LINE_FEED = 0x0a;
const CARRIAGE_RETURN = 0x0d;
const EMPTY = Buffer.alloc(0);

/**
 * Splits the bytes of a server-sent event stream at event boundaries, since an
 * engine may disconnect in the middle of an event.
 */
export class EventSplitter {
  private readonly incompleteEvent = new ByteCollector();

  /**
   * @param lastReceivedId last event that the client has received; events up to
   *     this numeric id are dropped; undefined drops none
   */
  constructor(private lastReceivedId?: string) {}

  /**
   * Adds received bytes and returns the events that they complete.
   *
   * @throws Error when an incomplete event exceeds MAX_EVENT_BYTES, or when the
   *     bytes are no events, such as the head of another reply
   */
  accept(chunk: Buffer): CompleteEvents {
    const complete = this.takeComplete(chunk);
    if (this.incompleteEvent.getLength() > MAX_EVENT_BYTES) {
      throw new Error('event exceeds the size limit of 1 MiB');
    }
    if (complete.length === 0) return {bytes: EMPTY, hasData: false};
    checkLines(complete);
    return this.lastReceivedId === undefined
      ? makeCompleteEvents(complete)
      : this.removeReceived(complete);
  }

  /** Returns the memory of the incomplete event, in bytes. */
  getHeldBytes(): number {
    return this.incompleteEvent.getCapacity();
  }

  /** Returns whether the buffer holds an incomplete event. */
  hasIncompleteEvent(): boolean {
    return this.incompleteEvent.getLength() > 0;
  }

  /**
   * Adds a chunk and takes the complete events. Only the chunk is searched for
   * their end: an engine may send an event in many small chunks.
   */
  private takeComplete(chunk: Buffer): Buffer {
    const searched = this.incompleteEvent.getLength();
    if (searched === 0) {
      const end = findLastEnd(chunk, 0);
      if (end < chunk.length) this.incompleteEvent.add(chunk.subarray(end));
      return chunk.subarray(0, end);
    }
    this.incompleteEvent.add(chunk);
    const end = findLastEnd(this.incompleteEvent.getBytes(), searched);
    return end === 0 ? EMPTY : this.incompleteEvent.take(end);
  }

  private removeReceived(complete: Buffer): CompleteEvents {
    const lastReceived = Number(this.lastReceivedId);
    const kept: Buffer[] = [];
    let start = 0;
    while (start < complete.length) {
      const end = findFirstEnd(complete, start);
      const event = complete.subarray(start, end);
      const id = findLastId(event.toString('latin1'));
      if (id === undefined || !(Number(id) <= lastReceived)) kept.push(event);
      start = end;
    }
    return makeCompleteEvents(Buffer.concat(kept));
  }
}

/**
 * Checks that each line is a field or a comment. A faulty server may write an
 * error, or the head of its next reply, into a stream.
 */
function checkLines(complete: Buffer): void {
  for (const line of complete.toString('latin1').split(LINE_END)) {
    if (EVENT_LINE.test(line)) continue;
    throw new Error('a line is no field of an event');
  }
}

function makeCompleteEvents(bytes: Buffer): CompleteEvents {
  const text = bytes.toString('latin1');
  const lastId = findLastId(text);
  const hasData = text.startsWith('data:') || text.includes('\ndata:');
  return lastId === undefined ? {bytes, hasData} : {bytes, lastId, hasData};
}

/**
 * Returns the end offset of the last complete event; 0 when none ends at or
 * after `from`.
 */
function findLastEnd(bytes: Buffer, from: number): number {
  for (let at = bytes.length - 1; at > 0 && at >= from; at -= 1) {
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

/** Returns whether the byte is the line feed of an empty line. */
function isEnd(bytes: Buffer, at: number): boolean {
  if (bytes[at] !== LINE_FEED) return false;
  if (bytes[at - 1] === LINE_FEED) return true;
  return bytes[at - 1] === CARRIAGE_RETURN && bytes[at - 2] === LINE_FEED;
}

function findLastId(text: string): string | undefined {
  const start = text.lastIndexOf('\nid:') + 1;
  if (!text.startsWith('id:', start)) return undefined;
  return /^id: ?([^\r\n]*)/.exec(text.slice(start))?.[1];
}
