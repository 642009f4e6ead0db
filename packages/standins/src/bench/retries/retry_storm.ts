import {SeededRandom} from '@greengagecross/common';
import {
  AttemptCost,
  RequestDeadline,
  type RetryPolicy,
} from '@greengagecross/decisions';
import {EventQueue} from './event_queue.js';
import {makeRetryPolicy, type RetryStrategy} from './retry_ways.js';
import {StormRecord} from './storm_record.js';

const SERVICE = 'assistant';
const SLOTS_PER_ENGINE = 8;
const MEAN_SERVICE_TIME_MS = 400;
const UTILIZATION = 0.7;
const DEADLINE_MS = 5000;
const STORM_START_MS = 20_000;
const STORM_DURATION_MS = 30_000;
const RUN_DURATION_MS = 110_000;
const FAILED_ANSWER_SHARE = 0.5;

/** Number of daemons and engines in the simulated fleet. */
export interface StormSize {
  readonly daemons: number;
  readonly engines: number;
}

interface Engine {
  busy: number;
  readonly waiting: Request[];
}

interface Request {
  readonly policy: RetryPolicy;
  readonly deadline: RequestDeadline;
  attempts: number;
}

/**
 * Simulates a retry storm in virtual time: half of the engines' answers fail
 * for a period, and the daemons' retry policies decide on retries. An engine
 * serves up to {@link SLOTS_PER_ENGINE} requests concurrently and queues the
 * others. An answer after the caller's deadline counts as failed.
 */
export class RetryStorm {
  private readonly events = new EventQueue();
  private readonly record = new StormRecord(
    STORM_START_MS,
    STORM_DURATION_MS,
    RUN_DURATION_MS,
  );
  private readonly random: SeededRandom;
  private readonly policies: readonly RetryPolicy[];
  private readonly engines: readonly Engine[];

  constructor(way: RetryStrategy, size: StormSize, seed: number) {
    this.random = new SeededRandom(seed);
    this.policies = Array.from({length: size.daemons}, (unused, index) =>
      makeRetryPolicy(way, seed + index + 1),
    );
    this.engines = Array.from({length: size.engines}, () => ({
      busy: 0,
      waiting: [],
    }));
  }

  /** Simulates the time before, during and after the storm. */
  run(): StormRecord {
    this.scheduleArrival();
    this.events.runUntil(RUN_DURATION_MS);
    return this.record;
  }

  private scheduleArrival(): void {
    const slots = this.engines.length * SLOTS_PER_ENGINE;
    const meanGapMs = MEAN_SERVICE_TIME_MS / (slots * UTILIZATION);
    this.events.schedule(this.random.nextExponential(meanGapMs), () => {
      this.startRequest();
      this.scheduleArrival();
    });
  }

  private startRequest(): void {
    const policy = this.random.choose(this.policies);
    if (policy === undefined) return;
    const nowMs = this.events.getNowMs();
    const deadline = RequestDeadline.make(undefined, DEADLINE_MS, nowMs);
    policy.recordFirstTry(SERVICE);
    this.record.recordFirstTry(nowMs);
    this.sendAttempt({policy, deadline, attempts: 0});
  }

  private sendAttempt(request: Request): void {
    const engine = this.random.choose(this.engines);
    if (engine === undefined) return;
    request.attempts += 1;
    this.record.recordAttempt(this.events.getNowMs());
    if (engine.busy >= SLOTS_PER_ENGINE) {
      engine.waiting.push(request);
      return;
    }
    this.startService(engine, request);
  }

  private startService(engine: Engine, request: Request): void {
    engine.busy += 1;
    const serviceMs = this.random.nextExponential(MEAN_SERVICE_TIME_MS);
    this.events.schedule(serviceMs, () => {
      engine.busy -= 1;
      const next = engine.waiting.shift();
      if (next !== undefined) this.startService(engine, next);
      this.finishAttempt(request);
    });
  }

  private finishAttempt(request: Request): void {
    const nowMs = this.events.getNowMs();
    const remainingMs = request.deadline.computeRemainingMs(nowMs);
    const isStorm =
      nowMs >= STORM_START_MS && nowMs < STORM_START_MS + STORM_DURATION_MS;
    const isBroken = isStorm && this.random.nextUnit() < FAILED_ANSWER_SHARE;
    if (!isBroken && remainingMs > 0) {
      this.record.recordEnd(nowMs, true);
      return;
    }
    const waitMs = request.policy.chooseWaitMs({
      service: SERVICE,
      attempts: request.attempts,
      cost: AttemptCost.LOAD,
      remainingMs,
    });
    if (waitMs === undefined) {
      this.record.recordEnd(nowMs, false);
      return;
    }
    this.events.schedule(waitMs, () => this.sendAttempt(request));
  }
}
