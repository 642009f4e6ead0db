import type {ActualEngine} from './plan_orders.js';

/** What the daemon that holds the order lease last observed of one engine. */
export interface EngineObservation {
  /** Last state that the engine reported; undefined before its first reply. */
  readonly state: ActualEngine | undefined;
  /**
   * When the first request for the engine's state since its last reply failed,
   * in milliseconds since the epoch; undefined while the engine replies.
   */
  readonly silentSinceMs: number | undefined;
}
