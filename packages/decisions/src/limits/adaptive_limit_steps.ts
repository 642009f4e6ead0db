import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {AdaptiveLimit} from './adaptive_limit.js';

const TICK_MS = 100;
const REPORT_INTERVAL_MS = 500;
const SERVICE_TIME_TICKS = 20;
/** Share of a run in which the limit may settle. */
const SETTLING_SHARE = 0.5;

interface EngineSample {
  readonly atMs: number;
  readonly running: number;
  readonly queued: number;
}

/**
 * Fixture of the adaptive limit scenarios: a simulated engine and its limit.
 */
interface LimitWorld extends World {
  adaptive: AdaptiveLimit;
  capacity: number;
  lagMs: number;
  nowMs: number;
  /**
   * Tick at which each request in flight ends; Infinity while it is in the
   * engine's own queue.
   */
  endTicks: number[];
  /** State of the engine at each tick, the oldest first. */
  samples: EngineSample[];
  /** Longest queue of the engine after the limit had time to settle. */
  maxQueued: number;
}

Given(
  'an adaptive limit that starts at {int}',
  function (this: LimitWorld, start: number) {
    this.adaptive = new AdaptiveLimit(start);
    this.nowMs = 1000;
    this.endTicks = [];
    this.samples = [];
    this.maxQueued = 0;
  },
);

Given(
  'an engine that runs {int} requests at once and reports its load {int} ms late',
  function (this: LimitWorld, capacity: number, lagMs: number) {
    this.capacity = capacity;
    this.lagMs = lagMs;
  },
);

When(
  "the engine's capacity drops to {int} requests",
  function (this: LimitWorld, capacity: number) {
    this.capacity = capacity;
  },
);

When(
  'the engine is kept full up to the limit for {int} s',
  function (this: LimitWorld, seconds: number) {
    runRequests(this, seconds, Infinity);
  },
);

When(
  'at most {int} requests are kept in flight for {int} s',
  function (this: LimitWorld, maxInFlight: number, seconds: number) {
    runRequests(this, seconds, maxInFlight);
  },
);

When(
  'the limit receives a report of {int} running and {int} queued requests, measured at {int} ms',
  function (
    this: LimitWorld,
    running: number,
    queued: number,
    observedAtMs: number,
  ) {
    // The owner counts the same requests as the report.
    const inFlight = running + queued;
    this.adaptive.observe({running, queued, observedAtMs, inFlight}, 2000);
  },
);

Then(
  'the adaptive limit ends between {int} and {int}',
  function (this: LimitWorld, min: number, max: number) {
    const limit = this.adaptive.getLimit();
    assert.ok(limit >= min && limit <= max, `the limit is ${limit}`);
  },
);

Then(
  'the engine queues at most {int} requests once the limit has settled',
  function (this: LimitWorld, queued: number) {
    assert.ok(this.maxQueued <= queued, `it queued ${this.maxQueued}`);
  },
);

/** Simulates the engine with as many requests in flight as the limit allows. */
function runRequests(
  world: LimitWorld,
  seconds: number,
  maxInFlight: number,
): void {
  const startMs = world.nowMs;
  const endMs = startMs + seconds * 1000;
  for (; world.nowMs < endMs; world.nowMs += TICK_MS) {
    const tick = world.nowMs / TICK_MS;
    const running = world.endTicks.slice(0, world.capacity);
    const queued = world.endTicks.slice(world.capacity);
    const unfinished = running.filter(end => end > tick);
    // Queued requests start in place of requests that have ended.
    const started = queued.map((unused, index) =>
      index < running.length - unfinished.length
        ? tick + SERVICE_TIME_TICKS
        : Infinity,
    );
    world.endTicks = [...unfinished, ...started];
    while (
      world.endTicks.length < Math.min(world.adaptive.getLimit(), maxInFlight)
    ) {
      const isStarted = world.endTicks.length < world.capacity;
      // The offset keeps requests from ending all in the same tick.
      const offset = world.endTicks.length % SERVICE_TIME_TICKS;
      world.endTicks.push(
        isStarted ? tick + SERVICE_TIME_TICKS + offset : Infinity,
      );
    }
    const inFlight = world.endTicks.length;
    const queuedCount = Math.max(0, inFlight - world.capacity);
    const {nowMs} = world;
    world.samples.push({
      atMs: nowMs,
      running: inFlight - queuedCount,
      queued: queuedCount,
    });
    if (nowMs > startMs + (endMs - startMs) * SETTLING_SHARE) {
      world.maxQueued = Math.max(world.maxQueued, queuedCount);
    }
    if (nowMs % REPORT_INTERVAL_MS === 0) reportLoad(world, inFlight);
  }
}

/** Reports the load of the engine as it was `lagMs` ago, if it is known. */
function reportLoad(world: LimitWorld, inFlight: number): void {
  const reportedAtMs = world.nowMs - world.lagMs;
  const sample = world.samples.findLast(s => s.atMs <= reportedAtMs);
  if (sample === undefined) return;
  const {running, queued, atMs: observedAtMs} = sample;
  const report = {running, queued, observedAtMs, inFlight};
  world.adaptive.observe(report, world.nowMs);
}
