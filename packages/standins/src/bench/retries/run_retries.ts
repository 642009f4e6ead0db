import {RetryStorm, type StormSize} from './retry_storm.js';
import {RetryWay} from './retry_ways.js';

const SEED = 7;
const SIZES: readonly StormSize[] = [
  {daemons: 5, engines: 13},
  {daemons: 50, engines: 130},
  {daemons: 360, engines: 600},
];

/** Prints the figures of a retry storm, one JSON object a line. */
export function run(): Promise<number> {
  for (const size of SIZES) {
    for (const way of Object.values(RetryWay)) printWay(way, size);
  }
  return Promise.resolve(0);
}

function printWay(way: RetryWay, size: StormSize): void {
  const record = new RetryStorm(way, size, SEED).run();
  const print = (measure: string, value: number, unit: string): void => {
    const name = `${size.daemons}x${size.engines}`;
    const rounded = Number(value.toFixed(3));
    const line = {measure, way, size: name, value: rounded, unit, seed: SEED};
    process.stdout.write(`${JSON.stringify(line)}\n`);
  };
  print('offered_load', record.computeOfferedLoad(), 'attempts/first try');
  print('worst_second', record.computeWorstSecond(), 'attempts/first try');
  print('whole_share', record.computeWholeShare(), 'share');
  print('recovery', record.computeRecoverySeconds(), 's');
}
