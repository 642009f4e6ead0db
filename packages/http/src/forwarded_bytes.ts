/** Gathers the bytes of a received chunk that the parser gets. */
export class ForwardedBytes {
  private start = 0;
  private end = 0;
  private mayReadOn = true;

  constructor(
    private readonly chunk: Buffer,
    private readonly push: (bytes: Buffer) => boolean,
  ) {}

  /**
   * Adds the bytes between two indexes.
   *
   * @param held received before the chunk; only if these are its first bytes
   */
  add(held: Buffer, start: number, end: number): void {
    if (held.length > 0) this.mayReadOn = this.push(held);
    if (start !== this.end) {
      this.flush();
      this.start = start;
    }
    this.end = end;
  }

  /** Pushes what was added; returns whether the socket may read on. */
  flush(): boolean {
    if (this.end > this.start) {
      this.mayReadOn = this.push(this.chunk.subarray(this.start, this.end));
      this.start = this.end;
    }
    return this.mayReadOn;
  }
}
