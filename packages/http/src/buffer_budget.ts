/** Default limit of a process on the memory of bodies that are being read. */
const DEFAULT_LIMIT_BYTES = 64 * 1024 * 1024;

/** Holder of buffered bytes that can be made to give them up. */
export interface BufferHolder {
  /** Called when the budget is exceeded and no other holder has more bytes. */
  onEvicted(): void;
}

/**
 * Limits the memory that all bodies of a process take together while they are
 * read. When it is exceeded, the holder of the most bytes gives them up: a body
 * without an end grows until it is that one, and smaller ones are still read.
 */
export class BufferBudget {
  private readonly heldBytes = new Map<BufferHolder, number>();
  private totalBytes = 0;
  private evictions = 0;

  constructor(private limitBytes = DEFAULT_LIMIT_BYTES) {}

  /** Sets the limit, in bytes, for what is held from now on. */
  setLimit(limitBytes: number): void {
    this.limitBytes = limitBytes;
  }

  /** Records the bytes of a holder; evicts the largest beyond the limit. */
  update(holder: BufferHolder, bytes: number): void {
    this.totalBytes += bytes - (this.heldBytes.get(holder) ?? 0);
    this.heldBytes.set(holder, bytes);
    while (this.totalBytes > this.limitBytes) {
      const largest = this.findLargest();
      if (largest === undefined) return;
      this.release(largest);
      this.evictions += 1;
      largest.onEvicted();
    }
  }

  /** Releases the bytes of a holder; does nothing for an unknown one. */
  release(holder: BufferHolder): void {
    this.totalBytes -= this.heldBytes.get(holder) ?? 0;
    this.heldBytes.delete(holder);
  }

  /** Counts the bytes of all holders. */
  countBytes(): number {
    return this.totalBytes;
  }

  /** Counts the holders that had to give up their bytes, since the start. */
  countEvictions(): number {
    return this.evictions;
  }

  private findLargest(): BufferHolder | undefined {
    let largest: BufferHolder | undefined;
    let most = 0;
    for (const [holder, bytes] of this.heldBytes) {
      if (bytes <= most) continue;
      largest = holder;
      most = bytes;
    }
    return largest;
  }
}

/** Budget of this process; every body and event stream that is read counts. */
export const processBuffers = new BufferBudget();

/** Limit on the memory of replies with state that a daemon needs itself. */
const STATE_LIMIT_BYTES = 16 * 1024 * 1024;

/**
 * Budget of replies with state that a daemon needs itself, apart from bodies of
 * clients and servers: these could otherwise keep a large reply from arriving.
 */
export const stateBuffers = new BufferBudget(STATE_LIMIT_BYTES);
