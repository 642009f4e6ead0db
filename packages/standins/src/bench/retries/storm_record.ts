const SECOND_MS = 1000;
const RECOVERED_SHARE = 0.99;

interface Second {
  firstTries: number;
  attempts: number;
  complete: number;
  failed: number;
}

/** Counts of requests, attempts and outcomes in each simulated second. */
export class StormRecord {
  private readonly seconds: Second[];

  constructor(
    private readonly stormStartMs: number,
    private readonly stormDurationMs: number,
    runMs: number,
  ) {
    this.seconds = Array.from({length: runMs / SECOND_MS + 1}, () => ({
      firstTries: 0,
      attempts: 0,
      complete: 0,
      failed: 0,
    }));
  }

  /** Records the arrival of a request, which causes its first attempt. */
  recordFirstTry(nowMs: number): void {
    this.getSecond(nowMs).firstTries += 1;
  }

  /** Records that an attempt was sent to an engine. */
  recordAttempt(nowMs: number): void {
    this.getSecond(nowMs).attempts += 1;
  }

  /** Records that a caller received a complete answer, or a failure. */
  recordEnd(nowMs: number, isComplete: boolean): void {
    const second = this.getSecond(nowMs);
    if (isComplete) second.complete += 1;
    else second.failed += 1;
  }

  /** Computes the ratio of all attempts to first attempts during the storm. */
  computeOfferedLoad(): number {
    const storm = this.listStorm();
    return computeTotal(storm, 'attempts') / computeTotal(storm, 'firstTries');
  }

  /**
   * Computes the attempts in the busiest second of the storm, divided by the
   * mean number of first attempts per second.
   */
  computeWorstSecond(): number {
    const storm = this.listStorm();
    const mean = computeTotal(storm, 'firstTries') / storm.length;
    return Math.max(...storm.map(second => second.attempts)) / mean;
  }

  /** Computes the share (0 to 1) of requests answered completely in the storm. */
  computeCompleteShare(): number {
    const storm = this.listStorm();
    const complete = computeTotal(storm, 'complete');
    return complete / (complete + computeTotal(storm, 'failed'));
  }

  /**
   * Computes the seconds from the end of the storm to the end of the last
   * second in which fewer than 99 % of the answers were complete; 0 if none.
   */
  computeRecoverySeconds(): number {
    const endSecond = (this.stormStartMs + this.stormDurationMs) / SECOND_MS;
    const after = this.seconds.slice(endSecond, -1);
    const lastBad = after.findLastIndex(
      ({complete, failed}) => complete < RECOVERED_SHARE * (complete + failed),
    );
    return lastBad + 1;
  }

  private listStorm(): Second[] {
    const first = this.stormStartMs / SECOND_MS;
    return this.seconds.slice(first, first + this.stormDurationMs / SECOND_MS);
  }

  private getSecond(nowMs: number): Second {
    const second = this.seconds[Math.floor(nowMs / SECOND_MS)];
    if (second === undefined) throw new RangeError(`no second at ${nowMs}`);
    return second;
  }
}

function computeTotal(seconds: readonly Second[], field: keyof Second): number {
  return seconds.reduce((total, second) => total + second[field], 0);
}
