import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

const UNIT_STEPS = 2 ** 30;

/** Random number generator that repeats its sequence for the same seed. */
export class SeededRandom {
  private readonly generator: ReturnType<typeof xoroshiro128plus>;

  constructor(seed: number) {
    this.generator = xoroshiro128plus(seed);
  }

  /** Returns a number in [0, 1). */
  nextUnit(): number {
    return uniformInt(this.generator, 0, UNIT_STEPS - 1) / UNIT_STEPS;
  }

  /** Returns an integer in [0, below). */
  nextInt(below: number): number {
    return uniformInt(this.generator, 0, below - 1);
  }

  /** Returns an exponentially distributed number with this mean. */
  nextExponential(mean: number): number {
    return -mean * Math.log(1 - this.nextUnit());
  }

  /** Chooses a random item; undefined if there are none. */
  choose<T>(items: readonly T[]): T | undefined {
    return items.length === 0 ? undefined : items[this.nextInt(items.length)];
  }
}
