import type {BenchSize} from './bench_size.js';
import type {Figure} from './figure.js';

/** What one run of a measure is asked for. */
export interface MeasureRun {
  readonly size: BenchSize;
  readonly way: string;
  readonly seed: number;
}

/** A decision that is weighed: several ways on the same trace. */
export abstract class Measure {
  /** Name that its figures begin with. */
  abstract readonly name: string;

  /** Names of the ways that can be run, the baseline first. */
  abstract readonly ways: readonly string[];

  /** Runs one way and gives its figures. */
  abstract run(run: MeasureRun): Figure[];
}
