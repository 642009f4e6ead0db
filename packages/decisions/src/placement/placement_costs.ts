import {PlacementPreference, type Ticket} from '@greengagecross/common';

/** Durations of a service's engines that costs are estimated from. */
export interface EngineTimes {
  /** Mean duration of one request on an engine. */
  readonly serviceMs: number;
  readonly prefillMsPerToken: number;
  /** Export and import of a context; undefined if engines do not support it. */
  readonly transfer:
    {readonly setupMs: number; readonly msPerToken: number} | undefined;
}

/**
 * Age at which a chat's context is assumed to be cached with probability 1/2,
 * by the engines of package `daemon`. `PromptPlacement` assumes about one
 * minute for the engines of package `router` (warm_engines.ts).
 */
const WARM_HALF_LIFE_MS = 3_600_000;
const MAX_WAIT_MS = 3000;

/**
 * Weight of the time to rebuild a context against time spent waiting. It may be
 * above 1 because prefill also takes time from the engine's other requests.
 */
const CONTEXT_WEIGHT: Readonly<Record<PlacementPreference, number>> = {
  [PlacementPreference.REUSE]: 2,
  [PlacementPreference.EVENNESS]: 1,
};

/** Estimates what a placement costs, in milliseconds. */
export class PlacementCosts {
  constructor(private readonly times: EngineTimes) {}

  /** Estimates the wait for a slot on an engine; 0 below the bound. */
  computeWaitMs(inFlight: number, bound: number): number {
    if (inFlight < bound) return 0;
    const excess = inFlight - bound + 1;
    return (this.times.serviceMs * excess) / Math.max(1, inFlight);
  }

  /**
   * Estimates the time to rebuild the part of a chat's context that an engine
   * lacks; 0 for the ticket's engine and without a ticket. The older the
   * ticket, the lower the estimate: staying would then probably mean a rebuild
   * too.
   */
  computeContextMs(
    ticket: Ticket | undefined,
    engine: string,
    nowMs: number,
  ): number {
    if (ticket === undefined || ticket.engine === engine) return 0;
    const ageMs = Math.max(0, nowMs - ticket.warmAtMs);
    const warmShare = 2 ** (-ageMs / WARM_HALF_LIFE_MS);
    const {earlier, contextTokens} = ticket;
    const cachedTokens = earlier?.engine === engine ? earlier.contextTokens : 0;
    const missing = Math.max(0, contextTokens - cachedTokens * warmShare);
    return warmShare * this.computeRebuildMs(missing);
  }

  /** Adds a wait and the weighted time to rebuild a context. */
  computeCostMs(
    waitMs: number,
    contextMs: number,
    preference: PlacementPreference,
  ): number {
    return waitMs + contextMs * CONTEXT_WEIGHT[preference];
  }

  /**
   * Computes the longest wait for a chat's warm engine: the weighted time to
   * rebuild the complete context, at most `MAX_WAIT_MS`; 0 if the expected wait
   * is at least as long.
   */
  computeMaxWaitMs(
    waitMs: number,
    fullContextMs: number,
    preference: PlacementPreference,
  ): number {
    const weightedContextMs = fullContextMs * CONTEXT_WEIGHT[preference];
    return waitMs < weightedContextMs
      ? Math.min(MAX_WAIT_MS, weightedContextMs)
      : 0;
  }

  private computeRebuildMs(tokens: number): number {
    const {prefillMsPerToken, transfer} = this.times;
    const prefillMs = tokens * prefillMsPerToken;
    if (transfer === undefined) return prefillMs;
    return Math.min(prefillMs, transfer.setupMs + tokens * transfer.msPerToken);
  }
}
