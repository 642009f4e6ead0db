import {PriorityClass, SeededRandom} from '@greengagecross/common';
import type {BenchSize} from '../bench_size.js';
import {EventQueue} from '../event_queue.js';
import type {Figure} from '../figure.js';
import {Measure, type MeasureRun} from '../measure.js';
import type {ServedEngine} from './served_engine.js';
import {makeServedEngine, ServingWay} from './serving_way.js';

const SERVICE_MS = 4000;
const MAX_WAIT_MS = 1300;
const LOAD_SHARE = 0.7;
const SURGE_FACTOR = 10;
const SURGING = 0;
const SETTLE_MS = 60_000;
const SURGE_MS = 120_000;
const MAX_ENGINES = 130;
const LIMIT_PER_ENGINE = 16;
const TRIES = 2;

/** What a customer surging tenfold leaves of the others' goodput. */
export class SurgeMeasure extends Measure {
  override readonly name = 'customer-surge';
  override readonly ways = Object.values(ServingWay);

  override run({size, way, seed}: MeasureRun): Figure[] {
    const calm = runLoad(size, way as ServingWay, seed, 1);
    const surge = runLoad(size, way as ServingWay, seed, SURGE_FACTOR);
    const value = surge / calm;
    const measure = `${this.name}-goodput-of-others`;
    return [{measure, way, size: size.name, value, unit: 'share', seed}];
  }
}

/** Counts what other customers got started in time during the surge. */
function runLoad(
  size: BenchSize,
  way: ServingWay,
  seed: number,
  factor: number,
): number {
  const queue = new EventQueue();
  const ids = Array.from(
    {length: Math.min(size.engines, MAX_ENGINES)},
    (unused, index) => `engine-${index}`,
  );
  const engines = new Map<string, ServedEngine>(
    ids.map(id => [id, makeServedEngine(way, queue, LIMIT_PER_ENGINE)]),
  );
  const customers = Math.min(size.customers, ids.length * 4);
  const perCustomerMs =
    (SERVICE_MS * customers) / (ids.length * LIMIT_PER_ENGINE * LOAD_SHARE);
  let startedInTime = 0;
  let slots = 0;
  for (let customer = 0; customer < customers; customer += 1) {
    const random = new SeededRandom(seed * 100_003 + customer);
    const name = `customer-${customer}`;
    const sendNext = (): void => {
      const nowMs = queue.getNowMs();
      const isSurging = customer === SURGING && nowMs >= SETTLE_MS;
      const meanMs = perCustomerMs / (isSurging ? factor : 1);
      queue.schedule(random.nextExponential(meanMs), () => {
        send();
        sendNext();
      });
    };
    const send = (): void => {
      const nowMs = queue.getNowMs();
      const serviceMs = random.nextExponential(SERVICE_MS);
      const chosen = Array.from({length: TRIES}, () => random.choose(ids));
      slots += 1;
      const request = {
        slotId: String(slots),
        customer: name,
        priority: PriorityClass.CONSULTATION,
        waitUntilMs: nowMs + MAX_WAIT_MS,
      };
      const onStart = (): void => {
        if (customer !== SURGING && nowMs >= SETTLE_MS) startedInTime += 1;
      };
      const onEnd = (): void => undefined;
      for (const id of chosen) {
        const work = {request, serviceMs, onStart, onEnd};
        if (engines.get(id ?? '')?.add(work) === true) return;
      }
    };
    sendNext();
  }
  queue.run(SETTLE_MS + SURGE_MS);
  return startedInTime;
}
