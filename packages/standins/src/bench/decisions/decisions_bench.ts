import {parseArgs} from 'node:util';
import type {Bench} from '../main.js';
import {BENCH_SIZES} from './bench_size.js';
import {makeMeasures} from './measures.js';

const EXIT_BAD_ARGUMENTS = 2;
const USAGE =
  'usage: npm run bench -- decisions [--seed N] [--size NAME,…]' +
  ' [--ways NAME,…] [--measures NAME,…]\n';

/** Weighs the ways of each decision in one process, in virtual time. */
export class DecisionsBench implements Bench {
  readonly run = async (args: readonly string[]): Promise<number> => {
    const {values} = parseArgs({
      args: [...args],
      options: {
        seed: {type: 'string', default: '1'},
        size: {type: 'string', default: 'today'},
        ways: {type: 'string'},
        measures: {type: 'string'},
      },
    });
    const seed = Number(values.seed);
    const names = values.size.split(',');
    const sizes = BENCH_SIZES.filter(size => names.includes(size.name));
    if (!Number.isSafeInteger(seed) || sizes.length !== names.length) {
      process.stderr.write(USAGE);
      return EXIT_BAD_ARGUMENTS;
    }
    const isChosen = makeFilter(values.ways);
    const isMeasured = makeFilter(values.measures);
    for (const measure of makeMeasures()) {
      if (!isMeasured(measure.name)) continue;
      for (const size of sizes) {
        for (const way of measure.ways.filter(isChosen)) {
          for (const figure of measure.run({size, way, seed})) {
            process.stdout.write(`${JSON.stringify(figure)}\n`);
          }
        }
      }
    }
    return 0;
  };
}

function makeFilter(names: string | undefined): (name: string) => boolean {
  if (names === undefined) return () => true;
  const chosen = new Set(names.split(','));
  return name => chosen.has(name);
}
