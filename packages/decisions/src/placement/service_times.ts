import type {EngineTimes} from './placement_costs.js';

/** Weight of the latest duration in the moving average. */
const SMOOTHING = 0.05;
/** Assumed before the first recorded duration. */
const INITIAL_SERVICE_MS = 3000;
/**
 * Assumed for the engines of package `daemon`. For those of package `router`,
 * `COSTLY_TOKENS` in prompt_placement.ts assumes a much faster prefill.
 */
const PREFILL_MS_PER_TOKEN = 0.2;

/** Tracks the mean duration of one service's requests. */
export class ServiceTimes {
  private serviceMs = INITIAL_SERVICE_MS;

  /** Records how long an engine took for a complete reply. */
  record(serviceMs: number): void {
    this.serviceMs += SMOOTHING * (serviceMs - this.serviceMs);
  }

  /** Returns the current estimates; daemons don't transfer contexts yet. */
  getTimes(): EngineTimes {
    return {
      serviceMs: this.serviceMs,
      prefillMsPerToken: PREFILL_MS_PER_TOKEN,
      transfer: undefined,
    };
  }
}
