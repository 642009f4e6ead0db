import {PlacementPreference, type Ticket} from '@greengagecross/common';

/** Durations from which costs are estimated, in milliseconds. */
export interface EngineTimes {
  /** Mean time of one request on an engine. */
  readonly serviceMs: number;
  readonly prefillMsPerToken: number;
  /** Export and import of a context; undefined where engines cannot. */
  readonly transfer:
    {readonly setupMs: number; readonly msPerToken: number} | undefined;
}

const WARM_HALF_LIFE_MS = 3_600_000;
const MAX_WAIT_MS = 3000;

/** Prefill takes time from the engine's other requests as well. */
const CONTEXT_WEIGHT: Readonly<Record<PlacementPreference, number>> = {
  [PlacementPreference.REUSE]: 2,
  [PlacementPreference.EVENNESS]: 1,
};

/** Estimates what a placement costs, in milliseconds. */
export class PlacementCosts {
  constructor(private readonly times: EngineTimes) {}

  /** Estimates the wait for a slot of an engine with requests in flight. */
  computeWaitMs(inFlight: number, bound: number): number {
    if (inFlight < bound) return 0;
    const excess = inFlight - bound + 1;
    return (this.times.serviceMs * excess) / Math.max(1, inFlight);
  }

  /** Estimates the time to get the missing part of a context on an engine. */
  computeContextMs(
    ticket: Ticket | undefined,
    engine: string,
    nowMs: number,
  ): number {
    if (ticket === undefined || ticket.engine === engine) return 0;
    const ageMs = Math.max(0, nowMs - ticket.warmAtMs);
    const warmShare = 2 ** (-ageMs / WARM_HALF_LIFE_MS);
    const {earlier, contextTokens} = ticket;
    const held = earlier?.engine === engine ? earlier.contextTokens : 0;
    const missing = Math.max(0, contextTokens - held * warmShare);
    return warmShare * this.computeMoveMs(missing);
  }

  /** Adds a wait and a context's cost as a preference weighs them. */
  computeCostMs(
    waitMs: number,
    contextMs: number,
    preference: PlacementPreference,
  ): number {
    return waitMs + contextMs * CONTEXT_WEIGHT[preference];
  }

  /**
   * Computes how long a request should wait for its warm engine: up to what
   * moving costs, if a slot is expected before that; else not at all.
   */
  computeMaxWaitMs(
    waitMs: number,
    contextMs: number,
    preference: PlacementPreference,
  ): number {
    const moveMs = contextMs * CONTEXT_WEIGHT[preference];
    return waitMs < moveMs ? Math.min(MAX_WAIT_MS, moveMs) : 0;
  }

  private computeMoveMs(tokens: number): number {
    const {prefillMsPerToken, transfer} = this.times;
    const prefillMs = tokens * prefillMsPerToken;
    if (transfer === undefined) return prefillMs;
    return Math.min(prefillMs, transfer.setupMs + tokens * transfer.msPerToken);
  }
}
