import {SeededRandom} from '@greengagecross/common';
import type {BenchSize} from '../bench_size.js';
import {EventQueue} from '../event_queue.js';
import type {Figure} from '../figure.js';
import {Measure, type MeasureRun} from '../measure.js';
import {
  EngineShares,
  EqualSplit,
  LeasedPermits,
  type CustomerLimiter,
} from './customer_limiters.js';

const SERVICE_MS = 12_000;
const RUN_MS = 300_000;
const SETTLE_MS = 60_000;
const SAMPLE_MS = 500;
/** Work offered, over what the limit allows. */
const OFFERED = 3;
const LIMITS = [20, 200];

enum Way {
  EQUAL_SPLIT = 'equal-split',
  LEASED_PERMITS = 'leased-permits',
  ENGINE_SHARES = 'engine-shares',
}

/** How exactly a customer's limit holds over daemons that see slivers. */
export class CustomerLimitMeasure extends Measure {
  override readonly name = 'customer-limit';
  override readonly ways = Object.values(Way);

  override run({size, way, seed}: MeasureRun): Figure[] {
    return LIMITS.flatMap(maxInFlight => {
      const result = runLoad(size, way as Way, seed, maxInFlight);
      const make = (measure: string, value: number, unit: string): Figure => ({
        measure: `${this.name}-${maxInFlight}-${measure}`,
        way,
        size: size.name,
        value,
        unit,
        seed,
      });
      return [
        make('worst-over-limit', result.worst / maxInFlight, 'ratio'),
        make('mean-over-limit', result.mean / maxInFlight, 'ratio'),
        make('messages', result.messagesPerRequest, 'a request'),
      ];
    });
  }
}

interface LoadResult {
  readonly worst: number;
  readonly mean: number;
  readonly messagesPerRequest: number;
}

function makeLimiter(
  size: BenchSize,
  way: Way,
  maxInFlight: number,
): CustomerLimiter {
  switch (way) {
    case Way.EQUAL_SPLIT:
      return new EqualSplit(size, maxInFlight);
    case Way.LEASED_PERMITS:
      return new LeasedPermits(size, maxInFlight);
    case Way.ENGINE_SHARES:
      return new EngineShares(size, maxInFlight);
  }
}

function runLoad(
  size: BenchSize,
  way: Way,
  seed: number,
  maxInFlight: number,
): LoadResult {
  const queue = new EventQueue();
  const random = new SeededRandom(seed);
  const limiter = makeLimiter(size, way, maxInFlight);
  let inFlight = 0;
  let worst = 0;
  let total = 0;
  let samples = 0;
  let admitted = 0;
  const send = (): void => {
    const meanMs = SERVICE_MS / (OFFERED * maxInFlight);
    queue.schedule(random.nextExponential(meanMs), () => {
      const release = limiter.acquire(random, queue.getNowMs());
      send();
      if (release === undefined) return;
      admitted += 1;
      inFlight += 1;
      worst = Math.max(worst, inFlight);
      queue.schedule(random.nextExponential(SERVICE_MS), () => {
        inFlight -= 1;
        release(queue.getNowMs());
      });
    });
  };
  const sample = (): void => {
    if (queue.getNowMs() > SETTLE_MS) {
      total += inFlight;
      samples += 1;
    }
    limiter.renew(queue.getNowMs());
    queue.schedule(SAMPLE_MS, sample);
  };
  send();
  sample();
  queue.run(RUN_MS);
  const messagesPerRequest = limiter.countMessages() / Math.max(1, admitted);
  return {worst, mean: total / samples, messagesPerRequest};
}
