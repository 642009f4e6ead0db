import type {EngineTimes} from './placement_costs.js';

const SMOOTHING = 0.05;
const FIRST_SERVICE_MS = 3000;
const PREFILL_MS_PER_TOKEN = 0.2;

/** Learns the mean duration of one service's requests. */
export class ServiceTimes {
  private serviceMs = FIRST_SERVICE_MS;

  /** Records how long an engine took for a whole answer. */
  record(serviceMs: number): void {
    this.serviceMs += SMOOTHING * (serviceMs - this.serviceMs);
  }

  /** Gets the times as learnt so far; daemons move no contexts yet. */
  getTimes(): EngineTimes {
    return {
      serviceMs: this.serviceMs,
      prefillMsPerToken: PREFILL_MS_PER_TOKEN,
      transfer: undefined,
    };
  }
}
