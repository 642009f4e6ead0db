import type {ActualEngine} from './plan_orders.js';

/** What the daemon that holds the order lease last observed of one engine. */
export interface EngineObservation {
  /** Last state that the engine reported; undefined before its first answer. */
  readonly state: ActualEngine | undefined;
  /**
   * When the first request for the engine's state since its last answer failed,
   * in milliseconds since the epoch; undefined while the engine answers.
   */
  readonly silentSinceMs: number | undefined;
}
