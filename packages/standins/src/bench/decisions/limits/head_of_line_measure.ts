import {PriorityClass, SeededRandom} from '@greengagecross/common';
import {EventQueue} from '../event_queue.js';
import type {Figure} from '../figure.js';
import {Measure, type MeasureRun} from '../measure.js';
import {makeServedEngine, ServingWay} from './serving_way.js';

const LIMIT = 16;
const SHORT_MS = 300;
const LONG_MS = 12_000;
const SHORT_IN_FLIGHT = 1.5;
/** Long work offered over what the engine can run. */
const LONG_LOAD = 1.5;
const RUN_MS = 900_000;
const SETTLE_MS = 100_000;
const SHORT_WAIT_MS = 10_000;
const LONG_WAIT_MS = 30_000;

/** What long work in excess does to the time of short lookups. */
export class HeadOfLineMeasure extends Measure {
  override readonly name = 'head-of-line';
  override readonly ways = Object.values(ServingWay);

  override run({size, way, seed}: MeasureRun): Figure[] {
    const idle = runLoad(way as ServingWay, seed, 0);
    const busy = runLoad(way as ServingWay, seed, LONG_LOAD);
    const make = (measure: string, value: number, unit: string): Figure => ({
      measure: `${this.name}-${measure}`,
      way,
      size: size.name,
      value,
      unit,
      seed,
    });
    return [
      make('short-p99-over-idle', busy.shortP99Ms / idle.shortP99Ms, 'ratio'),
      make('long-work-kept', busy.longShare, 'share of the engine'),
    ];
  }
}

interface LoadResult {
  readonly shortP99Ms: number;
  /** Part of the engine's room that long work had on average. */
  readonly longShare: number;
}

function runLoad(way: ServingWay, seed: number, longLoad: number): LoadResult {
  const queue = new EventQueue();
  const engine = makeServedEngine(way, queue, LIMIT);
  const times: number[] = [];
  let longBusyMs = 0;
  let slots = 0;
  const send = (
    priority: PriorityClass,
    serviceMs: number,
    waitMs: number,
    onEnd: (tookMs: number) => void,
  ): void => {
    const sentMs = queue.getNowMs();
    slots += 1;
    const request = {
      slotId: String(slots),
      customer: `customer-${slots % 7}`,
      priority,
      waitUntilMs: sentMs + waitMs,
    };
    const end = (): void => onEnd(queue.getNowMs() - sentMs);
    const isTaken = engine.add({
      request,
      serviceMs,
      onStart: () => undefined,
      onEnd: end,
    });
    if (!isTaken) onEnd(waitMs);
  };
  const repeat = (meanMs: number, random: SeededRandom, work: () => void) => {
    const next = (): void =>
      queue.schedule(random.nextExponential(meanMs), () => {
        work();
        next();
      });
    next();
  };
  const short = new SeededRandom(seed);
  repeat(SHORT_MS / SHORT_IN_FLIGHT, short, () =>
    send(
      PriorityClass.INTERACTIVE,
      short.nextExponential(SHORT_MS),
      SHORT_WAIT_MS,
      tookMs => {
        if (queue.getNowMs() > SETTLE_MS) times.push(tookMs);
      },
    ),
  );
  const long = new SeededRandom(seed + 1);
  if (longLoad > 0) {
    repeat(LONG_MS / (LIMIT * longLoad), long, () => {
      const serviceMs = long.nextExponential(LONG_MS);
      send(PriorityClass.BACKGROUND, serviceMs, LONG_WAIT_MS, () => undefined);
    });
  }
  const sample = (): void => {
    longBusyMs += engine.count();
    queue.schedule(1000, sample);
  };
  sample();
  queue.run(RUN_MS);
  times.sort((a, b) => a - b);
  const shortP99Ms = times[Math.floor(times.length * 0.99)] ?? 0;
  const longShare = longBusyMs / (RUN_MS / 1000) / LIMIT;
  return {shortP99Ms, longShare};
}
