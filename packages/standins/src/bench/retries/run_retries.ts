import {RetryStorm, type StormSize} from './retry_storm.js';
import {RetryStrategy} from './retry_ways.js';

const SEED = 7;
const SIZES: readonly StormSize[] = [
  {daemons: 5, engines: 13},
  {daemons: 50, engines: 130},
  {daemons: 360, engines: 600},
];

/**
 * Simulates a retry storm for each fleet size and retry strategy. Prints one
 * JSON object per line and measure. The exit code is always 0.
 */
export function run(): Promise<number> {
  for (const size of SIZES) {
    for (const kind of Object.values(RetryStrategy)) printStorm(kind, size);
  }
  return Promise.resolve(0);
}

function printStorm(strategy: RetryStrategy, size: StormSize): void {
  const record = new RetryStorm(strategy, size, SEED).run();
  const print = (measure: string, value: number, unit: string): void => {
    const name = `${size.daemons}x${size.engines}`;
    const rounded = Number(value.toFixed(3));
    const line = {
      measure,
      way: strategy,
      size: name,
      value: rounded,
      unit,
      seed: SEED,
    };
    process.stdout.write(`${JSON.stringify(line)}\n`);
  };
  print('offered_load', record.computeOfferedLoad(), 'attempts/first try');
  print('worst_second', record.computeWorstSecond(), 'attempts/first try');
  print('whole_share', record.computeCompleteShare(), 'share');
  print('recovery', record.computeRecoverySeconds(), 's');
}
