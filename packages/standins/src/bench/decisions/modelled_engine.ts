import {PrefixCache} from '../../backends/prefix_cache.js';
import type {TraceRequest} from './trace.js';

const CACHE_TOKENS = 800_000;
const FIRST_TOKEN_MS = 50;
/** Time to compute one token of a prompt that is not cached. */
export const PREFILL_MS_PER_TOKEN = 0.15;
const DECODE_MS_PER_TOKEN = 28;
const SLOWDOWN_PER_REQUEST = 0.002;

/** How long a request takes on an engine. */
export interface EngineTimesOfRequest {
  readonly firstTokenMs: number;
  readonly totalMs: number;
  readonly isWarm: boolean;
}

/** An engine's prefix cache and service times, without any I/O. */
export class ModelledEngine {
  readonly cache = new PrefixCache(CACHE_TOKENS);
  inFlight = 0;
  isUp = true;

  constructor(
    readonly id: string,
    readonly availabilityZone: string,
  ) {}

  /** Returns whether a chat's context is cached. */
  has(chat: number): boolean {
    return this.cache.get(String(chat)) > 0;
  }

  /** Starts a request; `finish` must follow after its time. */
  start(request: TraceRequest): EngineTimesOfRequest {
    const cached = this.cache.get(String(request.chat));
    const cold = Math.max(0, request.promptTokens - cached);
    this.inFlight += 1;
    const slowdown = 1 + this.inFlight * SLOWDOWN_PER_REQUEST;
    const firstTokenMs = FIRST_TOKEN_MS + cold * PREFILL_MS_PER_TOKEN;
    const decodeMs = request.answerTokens * DECODE_MS_PER_TOKEN * slowdown;
    const isWarm = cached > 0;
    return {firstTokenMs, totalMs: firstTokenMs + decodeMs, isWarm};
  }

  /** Ends a request; its whole context is cached from then on. */
  finish(request: TraceRequest): void {
    this.inFlight -= 1;
    const tokens = Math.ceil(request.promptTokens + request.answerTokens);
    this.cache.set(String(request.chat), tokens);
  }
}
