import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const UNIT_STEPS = 2 ** 30;

/** Random numbers that are the same each time for a seed. */
export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Gives a number in [0, 1). */
  nextUnit(): number {
    return uniformInt(this.generator, 0, UNIT_STEPS - 1) / UNIT_STEPS;
  }

  /** Gives an integer in [0, below). */
  nextInt(below: number): number {
    return uniformInt(this.generator, 0, below - 1);
  }

  /** Gives an exponentially distributed number of this mean. */
  nextExponential(mean: number): number {
    return -mean * Math.log(1 - this.nextUnit());
  }

  /** Chooses one item; undefined when there is none. */
  choose<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.nextInt(items.length)];
  }
}
