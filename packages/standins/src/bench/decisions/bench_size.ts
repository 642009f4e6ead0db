/** A fleet's size and load, as far as decisions depend on them. */
export interface BenchSize {
  readonly name: string;
  readonly daemons: number;
  readonly engines: number;
  readonly customers: number;
  /** Mean requests in flight on one engine, outside surges. */
  readonly inFlightPerEngine: number;
  /** Virtual time that a run covers, in milliseconds. */
  readonly durationMs: number;
}

/** Sizes by the name given on the command line. */
export const BENCH_SIZES: readonly BenchSize[] = [
  {
    name: 'today',
    daemons: 5,
    engines: 13,
    customers: 10,
    inFlightPerEngine: 4,
    durationMs: 3_600_000,
  },
  {
    name: 'tenfold',
    daemons: 50,
    engines: 130,
    customers: 100,
    inFlightPerEngine: 10,
    durationMs: 600_000,
  },
  {
    name: 'target',
    daemons: 360,
    engines: 600,
    customers: 30_000,
    inFlightPerEngine: 79,
    durationMs: 60_000,
  },
];
