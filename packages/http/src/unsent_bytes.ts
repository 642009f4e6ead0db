import type {Socket} from 'node:net';

/**
 * Observes whether the other end of a socket reads what is sent to it.
 *
 * Node includes unsent bytes in `bytesWritten`; the difference is what the
 * system has taken. Either count shows progress: the unsent bytes may grow
 * while the other end reads.
 */
export class UnsentBytes {
  /** Bytes that waited to be sent at the last observation. */
  private unsentBytes = 0;
  /** Bytes that the system had taken at the last observation. */
  private flushedBytes = 0;
  private stalledSinceMs: number | undefined;

  constructor(private readonly socket: Socket) {}

  /**
   * Compares the counts with those of the previous call.
   *
   * @param nowMs time of the monotonic clock, in milliseconds
   * @returns how long the other end has read nothing of the unsent bytes
   */
  observe(nowMs: number): number {
    const {writableLength, bytesWritten} = this.socket;
    const isReading =
      writableLength === 0 ||
      writableLength < this.unsentBytes ||
      bytesWritten - writableLength > this.flushedBytes;
    this.unsentBytes = writableLength;
    this.flushedBytes = bytesWritten - writableLength;
    this.stalledSinceMs = isReading
      ? undefined
      : (this.stalledSinceMs ?? nowMs);
    return nowMs - (this.stalledSinceMs ?? nowMs);
  }

  /** Returns whether the other end was reading at the last observation. */
  isRead(): boolean {
    return this.stalledSinceMs === undefined;
  }

  /** Returns the bytes that waited to be sent at the last observation. */
  get(): number {
    return this.unsentBytes;
  }
}
