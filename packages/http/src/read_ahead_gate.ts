import type {Socket} from 'node:net';

/**
 * Bytes that are parsed before the requests that wait are counted again. A read
 * of 64 KB may hold thousands of requests; this many bytes hold at most 40.
 */
const SLICE_BYTES = 1024;

/** Decides how much a connection may read. */
export interface ReadAheadLimit {
  /** Returns whether further requests may be read. */
  isReadAllowed(): boolean;
  /**
   * Returns how many of the next bytes certainly belong to the body of the
   * latest request, so that no other request begins in them.
   */
  countBodyBytes(): number;
  /** Called with the number of bytes that were parsed. */
  onParsed(bytes: number): void;
}

/**
 * Passes what a socket receives to Node's parser in slices, and stops reading
 * the socket while too many requests wait.
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

  /**
   * @param parse Node's listener, which parses a chunk
   */
  private constructor(
    private readonly socket: Socket,
    private readonly limit: ReadAheadLimit,
    private readonly parse: (chunk: Buffer) => void,
  ) {}

  /**
   * Puts a gate before the parser of a connection that Node's server has
   * accepted.
   */
  static open(socket: Socket, limit: ReadAheadLimit): ReadAheadGate {
    const [parse] = socket.listeners('data') as ((chunk: Buffer) => void)[];
    if (parse === undefined) throw new Error('the socket has no parser');
    const gate = new ReadAheadGate(socket, limit, parse);
    // A further listener makes Node read the socket in JavaScript.
    socket.on('data', (chunk: Buffer) => gate.onData(chunk));
    socket.off('data', parse);
    return gate;
  }

  /** Returns the number of received bytes that are not parsed yet. */
  getHeldBytes(): number {
    return this.socket.readableLength;
  }

  /** Reads on if the limit allows it again. */
  update(): void {
    if (!this.isHolding || !this.limit.isReadAllowed()) return;
    this.isHolding = false;
    this.socket.resume();
  }

  /** Discards everything that is received from now on. */
  stop(): void {
    this.isStopped = true;
    this.isHolding = false;
    this.socket.resume();
  }

  private onData(chunk: Buffer): void {
    const {socket, limit} = this;
    let parsed = 0;
    while (parsed < chunk.length && !this.isStopped && !socket.destroyed) {
      this.stopAtLimit();
      if (socket.isPaused()) {
        socket.unshift(chunk.subarray(parsed));
        return;
      }
      const size = Math.max(SLICE_BYTES, limit.countBodyBytes());
      const slice = chunk.subarray(parsed, parsed + size);
      parsed += slice.length;
      limit.onParsed(slice.length);
      this.parse(slice);
    }
    this.stopAtLimit();
  }

  private stopAtLimit(): void {
    if (this.isStopped || this.socket.isPaused()) return;
    if (this.limit.isReadAllowed()) return;
    this.isHolding = true;
    this.socket.pause();
  }
}
