import type {ActualEngine} from './plan_orders.js';

/** What the holder of the orders last saw of one engine. */
export interface EngineSight {
  /** Undefined while it has not answered yet. */
  readonly state: ActualEngine | undefined;
  /** Since when it does not answer; undefined while it does. */
  readonly silentSinceMs: number | undefined;
}
