import type {Socket} from 'node:net';
import type {TurnScheduler, TurnTaker} from './turn_scheduler.js';

/**
 * Most bytes that are passed to the parser at once, unless they are a body. A
 * slice also ends where headers may end, so that it holds one request.
 */
const SLICE_BYTES = 1024;
/** Bytes that are parsed in one turn, unless they are a body. */
const TURN_BYTES = 16 * 1024;
const HEADERS_END = Buffer.from('\r\n\r\n');

/** Decides how much a connection may read. */
export interface ReadAheadLimit {
  /** Returns whether further requests may be read. */
  isReadAllowed(): boolean;
  /**
   * Returns how many of the next bytes certainly belong to the body of the
   * latest request, so that no other request begins in them.
   */
  countBodyBytes(): number;
  /** Counts the requests whose headers were received, since the start. */
  countReceived(): number;
  /**
   * Called with the number of bytes that are parsed next.
   *
   * @param isHeadersEnd whether headers may end with the last of them
   */
  onParsed(bytes: number, isHeadersEnd: boolean): void;
  /** Called when no more is parsed for now. */
  onTurnEnd(): void;
}

/**
 * Passes what a socket receives to Node's parser in slices, and stops reading
 * the socket while too many requests wait, or until the connection has a turn.
 *
 * Node pauses a connection only when responses wait to be sent, not when
 * requests do, and it parses a whole read at once. The gate takes the place of
 * Node's `data` listener. It respects pauses of others (Node's own, or a body
 * that is read slowly) between slices as well. What is not parsed goes back into
 * the socket's own buffer, so that its end is not reported before; that is at
 * most two reads, as a paused socket is not read.
 */
export class ReadAheadGate {
  /** Whether this gate, not Node, has paused the socket. */
  private isHolding = false;
  private isStopped = false;
  private isInTurn = false;

  /**
   * @param parse Node's listener, which parses a chunk
   */
  private constructor(
    private readonly socket: Socket,
    private readonly limit: ReadAheadLimit,
    private readonly turns: TurnScheduler,
    private readonly taker: TurnTaker,
    private readonly parse: (chunk: Buffer) => void,
  ) {}

  /**
   * Puts a gate before the parser of a connection that Node's server has
   * accepted.
   *
   * @param taker calls {@link parseHeld} in its turn
   */
  static open(
    socket: Socket,
    limit: ReadAheadLimit,
    turns: TurnScheduler,
    taker: TurnTaker,
  ): ReadAheadGate {
    const [parse] = socket.listeners('data') as ((chunk: Buffer) => void)[];
    if (parse === undefined) throw new Error('the socket has no parser');
    const gate = new ReadAheadGate(socket, limit, turns, taker, parse);
    // A further listener makes Node read the socket in JavaScript.
    socket.on('data', (chunk: Buffer) => gate.onData(chunk));
    socket.off('data', parse);
    return gate;
  }

  /** Returns the number of received bytes that are not parsed yet. */
  getHeldBytes(): number {
    return this.socket.readableLength;
  }

  /** Waits for a turn to read on, if the limit allows it again. */
  update(): void {
    if (!this.isHolding || !this.limit.isReadAllowed()) return;
    this.turns.add(this.taker, Math.min(this.getHeldBytes(), TURN_BYTES));
  }

  /** Parses what is held, up to the end of the next request; in a turn only. */
  parseHeld(): void {
    const {socket, limit} = this;
    if (!this.isHolding || this.isStopped || socket.destroyed) return;
    if (!limit.isReadAllowed()) return;
    this.isHolding = false;
    const most = Math.max(TURN_BYTES, limit.countBodyBytes());
    const size = Math.min(socket.readableLength, most);
    socket.resume();
    if (size === 0) return;
    this.isInTurn = true;
    // Emits what it returns as `data`.
    socket.read(size);
    this.isInTurn = false;
    if (socket.readableLength === 0 || socket.isPaused()) return;
    this.startHolding();
    this.update();
  }

  /** Discards everything that is received from now on. */
  stop(): void {
    this.isStopped = true;
    this.isHolding = false;
    this.socket.resume();
  }

  private onData(chunk: Buffer): void {
    if (this.isStopped) return;
    // Node may have resumed a socket that waits for its turn.
    this.isHolding = false;
    if (this.isInTurn || this.turns.tryAcquire()) {
      this.parseChunk(chunk);
      this.limit.onTurnEnd();
      return;
    }
    this.startHolding();
    this.socket.unshift(chunk);
    this.update();
  }

  /** Parses a chunk up to the end of the first request in it. */
  private parseChunk(chunk: Buffer): void {
    const {socket, limit} = this;
    const received = limit.countReceived();
    let parsed = 0;
    while (parsed < chunk.length && !this.isStopped && !socket.destroyed) {
      const bodyBytes = limit.countBodyBytes();
      const isTurnOver =
        parsed >= TURN_BYTES || limit.countReceived() > received;
      const isHeld = !limit.isReadAllowed() || (isTurnOver && bodyBytes === 0);
      if (socket.isPaused() || isHeld) {
        // A pause of Node ends with another `data` event.
        if (!socket.isPaused()) this.startHolding();
        socket.unshift(chunk.subarray(parsed));
        this.update();
        return;
      }
      const slice = takeSlice(chunk.subarray(parsed), bodyBytes);
      parsed += slice.length;
      limit.onParsed(slice.length, hasHeadersEnd(slice));
      this.parse(slice);
    }
  }

  /**
   * Stops reading until a turn. Must precede `unshift`, which emits `data` at
   * once if the socket is not paused.
   */
  private startHolding(): void {
    this.isHolding = true;
    this.socket.pause();
  }
}

/** Takes body bytes, or bytes in which the headers of one request may end. */
function takeSlice(bytes: Buffer, bodyBytes: number): Buffer {
  if (bodyBytes > 0) return bytes.subarray(0, bodyBytes);
  const slice = bytes.subarray(0, SLICE_BYTES);
  const end = slice.indexOf(HEADERS_END);
  return end < 0 ? slice : slice.subarray(0, end + HEADERS_END.length);
}

function hasHeadersEnd(slice: Buffer): boolean {
  return slice.subarray(-HEADERS_END.length).equals(HEADERS_END);
}
