const MIN_CAPACITY_BYTES = 512;
const EMPTY = Buffer.alloc(0);

/**
 * Collects bytes that arrive in chunks. Chunks are copied: a chunk of one byte
 * takes a hundred bytes as an object, and keeps alive the whole buffer that it
 * was received in. The capacity is doubled, so that the work grows with the
 * number of bytes, however many chunks they come in.
 */
export class ByteCollector {
  private storage: Buffer = EMPTY;
  private length = 0;

  /** Returns the number of collected bytes. */
  getLength(): number {
    return this.length;
  }

  /** Returns the number of bytes that are allocated. */
  getCapacity(): number {
    return this.storage.length;
  }

  /** Returns the collected bytes, without a copy; valid until the next change. */
  getBytes(): Buffer {
    return this.storage.subarray(0, this.length);
  }

  /** Appends a copy of a chunk. */
  add(chunk: Buffer): void {
    const length = this.length + chunk.length;
    if (length > this.storage.length) this.setCapacity(length);
    chunk.copy(this.storage, this.length);
    this.length = length;
  }

  /**
   * Removes the first bytes and returns them; the others stay. The default
   * removes all.
   */
  take(count = this.length): Buffer {
    const taken = this.storage.subarray(0, count);
    const rest = this.storage.subarray(count, this.length);
    this.storage = EMPTY;
    this.length = 0;
    if (rest.length > 0) this.add(rest);
    return taken;
  }

  private setCapacity(length: number): void {
    const isFirst = this.storage.length === 0;
    const capacity = isFirst
      ? length
      : Math.max(MIN_CAPACITY_BYTES, length, 2 * this.storage.length);
    const storage = Buffer.allocUnsafe(capacity);
    this.storage.copy(storage, 0, 0, this.length);
    this.storage = storage;
  }
}
