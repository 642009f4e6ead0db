/**
 * Time for which a larger fleet is still assumed after some of its daemons were
 * last heard. A network partition is shorter; a fleet that was made smaller uses
 * less than its retry budget for this long.
 */
const RETENTION_MS = 600_000;
/** Records within this time are merged; it bounds how many are held. */
const BUCKET_MS = 10_000;

interface SizeRecord {
  readonly startMs: number;
  daemons: number;
}

/**
 * Estimates how many daemons share a limit of the whole fleet.
 *
 * Answers the load of a network partition while servers reject requests: a
 * daemon that hears no other one may not take the other daemons' shares too,
 * since they still use theirs. Used by package `router`; `nowMs` is a time on
 * the monotonic clock.
 */
export class FleetSize {
  /** Oldest first, each of at most BUCKET_MS. */
  private readonly records: SizeRecord[] = [];

  /**
   * Records the number of daemons that run as far as this daemon hears, itself
   * included.
   *
   * @return the largest number recorded within RETENTION_MS
   */
  update(daemons: number, nowMs: number): number {
    const last = this.records[this.records.length - 1];
    if (last === undefined || nowMs - last.startMs >= BUCKET_MS) {
      this.records.push({startMs: nowMs, daemons});
    } else {
      last.daemons = Math.max(last.daemons, daemons);
    }
    while (
      this.records[0] !== undefined &&
      nowMs - this.records[0].startMs > RETENTION_MS
    ) {
      this.records.shift();
    }
    return Math.max(...this.records.map(record => record.daemons));
  }
}
