import type {EventQueue} from '../event_queue.js';
import {
  AdmittedEngine,
  ArrivalOrderEngine,
  type ServedEngine,
} from './served_engine.js';

/** How an engine's owner lets requests in. */
export enum ServingWay {
  ARRIVAL_ORDER = 'arrival-order',
  ADMISSION = 'admission',
}

/** Makes an engine that is served in a way, in virtual time. */
export function makeServedEngine(
  way: ServingWay,
  queue: EventQueue,
  limit: number,
): ServedEngine {
  switch (way) {
    case ServingWay.ARRIVAL_ORDER:
      return new ArrivalOrderEngine(queue, limit);
    case ServingWay.ADMISSION:
      return new AdmittedEngine(queue, limit);
  }
}
