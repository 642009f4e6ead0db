import {setFlagsFromString} from 'node:v8';

/**
 * Growth of V8's old generation, in percent of what has survived, before it is
 * collected again. By default it grows up to four times on a large machine, and
 * about this much on one with a few hundred MB.
 */
const USUAL_PERCENT = 100;
/** The same while connections hold much; collecting more often costs time. */
const CROWDED_PERCENT = 30;

/**
 * Makes V8 collect garbage before it takes much memory from the system.
 *
 * V8 plans its heap for the memory of the machine, which may be far more than
 * the process may take; garbage then grows beyond the limit of the process while
 * little of it is in use.
 */
export class HeapGrowth {
  private percent: number | undefined;

  /** Limits the growth from now on; without this call, V8 decides. */
  start(): void {
    this.setPercent(USUAL_PERCENT);
  }

  /** Adapts the limit to whether the connections of clients hold much. */
  update(isCrowded: boolean): void {
    if (this.percent === undefined) return;
    this.setPercent(isCrowded ? CROWDED_PERCENT : USUAL_PERCENT);
  }

  private setPercent(percent: number): void {
    if (percent === this.percent) return;
    this.percent = percent;
    setFlagsFromString(`--heap-growing-percent=${percent}`);
  }
}

/** Growth of the heap of this process. */
export const processHeap = new HeapGrowth();
