/**
 * Number of checks for progress within one timeout. A process that was paused
 * runs one check before it reads what arrived meanwhile, so that a single check
 * must not end the stream.
 */
const CHECKS_PER_TIMEOUT = 4;

/**
 * Calls `onStalled` once a stream has made no progress for the timeout and
 * `mayEnd` returns true, which is asked again at each further check.
 */
export class StallTimer {
  private readonly timer: NodeJS.Timeout;
  private checks = 0;

  /** @param isHeldUp whether the reader of the stream prevents progress */
  constructor(
    timeoutMs: number,
    private readonly isHeldUp: () => boolean,
    private readonly onStalled: () => void,
    private readonly mayEnd: () => boolean,
  ) {
    this.timer = setInterval(
      () => this.check(),
      timeoutMs / CHECKS_PER_TIMEOUT,
    );
  }

  /** Records progress. */
  recordProgress(): void {
    this.checks = 0;
  }

  /** Stops the timer. */
  stop(): void {
    clearInterval(this.timer);
  }

  private check(): void {
    this.checks = this.isHeldUp() ? 0 : this.checks + 1;
    if (this.checks < CHECKS_PER_TIMEOUT || !this.mayEnd()) return;
    this.stop();
    this.onStalled();
  }
}
