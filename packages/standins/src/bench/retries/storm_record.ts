const SECOND_MS = 1000;
const RECOVERED_SHARE = 0.99;

interface Second {
  firstTries: number;
  attempts: number;
  whole: number;
  failed: number;
}

/** What happened in each second of a storm's run. */
export class StormRecord {
  private readonly seconds: Second[];

  constructor(
    private readonly startMs: number,
    private readonly lengthMs: number,
    runMs: number,
  ) {
    this.seconds = Array.from({length: runMs / SECOND_MS + 1}, () => ({
      firstTries: 0,
      attempts: 0,
      whole: 0,
      failed: 0,
    }));
  }

  /** Records that a request arrived. */
  recordFirstTry(nowMs: number): void {
    this.getSecond(nowMs).firstTries += 1;
  }

  /** Records that an attempt was sent to an engine. */
  recordAttempt(nowMs: number): void {
    this.getSecond(nowMs).attempts += 1;
  }

  /** Records that a caller has its whole answer, or a failure. */
  recordEnd(nowMs: number, isWhole: boolean): void {
    const second = this.getSecond(nowMs);
    if (isWhole) second.whole += 1;
    else second.failed += 1;
  }

  /** Computes attempts over first tries in the storm. */
  computeOfferedLoad(): number {
    const storm = this.listStorm();
    return computeTotal(storm, 'attempts') / computeTotal(storm, 'firstTries');
  }

  /** Computes the worst second's attempts over the storm's mean first tries. */
  computeWorstSecond(): number {
    const storm = this.listStorm();
    const mean = computeTotal(storm, 'firstTries') / storm.length;
    return Math.max(...storm.map(second => second.attempts)) / mean;
  }

  /** Computes the share of requests answered whole in the storm. */
  computeWholeShare(): number {
    const storm = this.listStorm();
    const whole = computeTotal(storm, 'whole');
    return whole / (whole + computeTotal(storm, 'failed'));
  }

  /** Computes the time after the storm until answers stay whole, in seconds. */
  computeRecoverySeconds(): number {
    const endSecond = (this.startMs + this.lengthMs) / SECOND_MS;
    const after = this.seconds.slice(endSecond, -1);
    const lastBad = after.findLastIndex(
      ({whole, failed}) => whole < RECOVERED_SHARE * (whole + failed),
    );
    return lastBad + 1;
  }

  private listStorm(): Second[] {
    const first = this.startMs / SECOND_MS;
    return this.seconds.slice(first, first + this.lengthMs / SECOND_MS);
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
