import {SeededRandom} from '@greengagecross/common';
import type {BenchSize} from './bench_size.js';
import type {EventQueue} from './event_queue.js';

/** Mean time of one request on an engine, in milliseconds. */
export const MEAN_SERVICE_MS = 12_000;

const MEAN_TURNS = 6;
const MEAN_ANSWER_TOKENS = 368;
const MEAN_MESSAGE_TOKENS = 200;
const FIRST_PROMPT_MEDIAN_TOKENS = 2000;
const FIRST_PROMPT_SIGMA = 1.2;
const MAX_PROMPT_TOKENS = 120_000;
const PAUSE_MEDIAN_MS = 45_000;
const PAUSE_SIGMA = 1.6;
const SURGE_FACTOR = 10;
const SURGING_CUSTOMER = 3;
const SURGE_START_SHARE = 0.4;
const SURGE_END_SHARE = 0.5;

/** One turn of a chat. */
export interface TraceRequest {
  /** Number of the request in its trace. */
  readonly id: number;
  readonly chat: number;
  readonly customer: number;
  /** 0 for a chat's first turn. */
  readonly turn: number;
  readonly promptTokens: number;
  readonly answerTokens: number;
}

/**
 * Returning chats from a seed: the same requests at the same times whatever is
 * decided. Customers have Zipf shares, and one of them surges for a while.
 */
export class Trace {
  private readonly random: SeededRandom;
  private readonly shares: readonly number[];
  private readonly chatsPerMs: number;
  private chats = 0;
  private requests = 0;

  constructor(
    private readonly size: BenchSize,
    seed: number,
    private readonly queue: EventQueue,
    private readonly onRequest: (request: TraceRequest) => void,
  ) {
    this.random = new SeededRandom(seed);
    this.shares = computeShares(size.customers);
    const inFlight = size.engines * size.inFlightPerEngine;
    this.chatsPerMs = inFlight / MEAN_SERVICE_MS / MEAN_TURNS;
  }

  /** Schedules the first chat; each one schedules the next. */
  start(): void {
    const isSurge = this.isSurging();
    const share = this.shares[SURGING_CUSTOMER] ?? 0;
    const factor = isSurge ? 1 + (SURGE_FACTOR - 1) * share : 1;
    const delayMs = this.random.nextExponential(1 / (this.chatsPerMs * factor));
    this.queue.schedule(delayMs, () => {
      this.startChat();
      this.start();
    });
  }

  private startChat(): void {
    this.chats += 1;
    const customer = this.chooseCustomer();
    const random = new SeededRandom(this.random.nextInt(2 ** 30));
    const first = nextLogNormal(
      random,
      FIRST_PROMPT_MEDIAN_TOKENS,
      FIRST_PROMPT_SIGMA,
    );
    this.sendTurn(random, this.chats, customer, 0, Math.ceil(first));
  }

  private sendTurn(
    random: SeededRandom,
    chat: number,
    customer: number,
    turn: number,
    contextTokens: number,
  ): void {
    const promptTokens = Math.min(MAX_PROMPT_TOKENS, contextTokens);
    const answerTokens = 1 + random.nextExponential(MEAN_ANSWER_TOKENS);
    this.requests += 1;
    this.onRequest({
      id: this.requests,
      chat,
      customer,
      turn,
      promptTokens,
      answerTokens,
    });
    if (random.nextUnit() < 1 / MEAN_TURNS) return;
    const pauseMs = nextLogNormal(random, PAUSE_MEDIAN_MS, PAUSE_SIGMA);
    const message = random.nextExponential(MEAN_MESSAGE_TOKENS);
    const next = Math.ceil(promptTokens + answerTokens + message);
    this.queue.schedule(2 * MEAN_SERVICE_MS + pauseMs, () =>
      this.sendTurn(random, chat, customer, turn + 1, next),
    );
  }

  private isSurging(): boolean {
    const share = this.queue.getNowMs() / this.size.durationMs;
    return share >= SURGE_START_SHARE && share < SURGE_END_SHARE;
  }

  private chooseCustomer(): number {
    const surging = this.shares[SURGING_CUSTOMER] ?? 0;
    const extra = this.isSurging() ? (SURGE_FACTOR - 1) * surging : 0;
    let left = this.random.nextUnit() * (1 + extra) - extra;
    if (left < 0) return SURGING_CUSTOMER;
    for (const [customer, share] of this.shares.entries()) {
      left -= share;
      if (left < 0) return customer;
    }
    return 0;
  }
}

function computeShares(customers: number): number[] {
  const weights = Array.from({length: customers}, (unused, k) => 1 / (k + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  return weights.map(weight => weight / total);
}

function nextLogNormal(
  random: SeededRandom,
  median: number,
  sigma: number,
): number {
  const radius = Math.sqrt(-2 * Math.log(1 - random.nextUnit()));
  const normal = radius * Math.cos(2 * Math.PI * random.nextUnit());
  return median * Math.exp(sigma * normal);
}
