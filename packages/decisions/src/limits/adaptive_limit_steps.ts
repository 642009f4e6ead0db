import assert from 'node:assert/strict';
import {Given, Then, When, World} from '@cucumber/cucumber';
import {AdaptiveLimit} from './adaptive_limit.js';

const TICK_MS = 100;
const REPORT_MS = 500;
const SERVICE_TICKS = 20;
const SETTLED_SHARE = 0.5;

interface EngineSample {
  readonly atMs: number;
  readonly running: number;
  readonly waiting: number;
}

/** State of one scenario about the adaptive limit. */
interface LimitWorld extends World {
  adaptive: AdaptiveLimit;
  capacity: number;
  lagMs: number;
  nowMs: number;
  /** Tick at which each request in flight ends; the rest is held back. */
  ends: number[];
  samples: EngineSample[];
  maxHeldBack: number;
}

Given(
  'an adaptive limit that starts at {int}',
  function (this: LimitWorld, start: number) {
    this.adaptive = new AdaptiveLimit(start);
    this.nowMs = 1000;
    this.ends = [];
    this.samples = [];
    this.maxHeldBack = 0;
  },
);

Given(
  'an engine that runs {int} at once and reports with a lag of {int} ms',
  function (this: LimitWorld, capacity: number, lagMs: number) {
    this.capacity = capacity;
    this.lagMs = lagMs;
  },
);

When(
  'the engine runs only {int} at once from now on',
  function (this: LimitWorld, capacity: number) {
    this.capacity = capacity;
  },
);

When(
  'more work than the engine can run is offered to the limit for {int} s',
  function (this: LimitWorld, seconds: number) {
    sendWork(this, seconds, Infinity);
  },
);

When(
  '{int} requests at once are offered to the limit for {int} s',
  function (this: LimitWorld, offered: number, seconds: number) {
    sendWork(this, seconds, offered);
  },
);

When(
  'the limit is told of {int} running and {int} held back, observed at {int} ms',
  function (
    this: LimitWorld,
    running: number,
    waiting: number,
    observedAtMs: number,
  ) {
    const inFlight = running + waiting;
    this.adaptive.observe({running, waiting, observedAtMs, inFlight}, 2000);
  },
);

Then(
  'the adaptive limit ends between {int} and {int}',
  function (this: LimitWorld, low: number, high: number) {
    const limit = this.adaptive.getLimit();
    assert.ok(limit >= low && limit <= high, `the limit is ${limit}`);
  },
);

Then(
  'the engine never holds back more than {int} after it has settled',
  function (this: LimitWorld, held: number) {
    assert.ok(this.maxHeldBack <= held, `it held back ${this.maxHeldBack}`);
  },
);

/** Keeps the engine filled up to the limit, tick by tick. */
function sendWork(world: LimitWorld, seconds: number, offered: number): void {
  const startMs = world.nowMs;
  const endMs = startMs + seconds * 1000;
  for (; world.nowMs < endMs; world.nowMs += TICK_MS) {
    const tick = world.nowMs / TICK_MS;
    const running = world.ends.slice(0, world.capacity);
    const held = world.ends.slice(world.capacity);
    const left = running.filter(end => end > tick);
    // Those that were held back start where others have ended.
    const moved = held.map((unused, index) =>
      index < running.length - left.length ? tick + SERVICE_TICKS : Infinity,
    );
    world.ends = [...left, ...moved];
    while (world.ends.length < Math.min(world.adaptive.getLimit(), offered)) {
      const starts = world.ends.length < world.capacity;
      // Requests end one by one, not all in the same tick.
      const spread = world.ends.length % SERVICE_TICKS;
      world.ends.push(starts ? tick + SERVICE_TICKS + spread : Infinity);
    }
    const inFlight = world.ends.length;
    const waiting = Math.max(0, inFlight - world.capacity);
    const {nowMs} = world;
    world.samples.push({atMs: nowMs, running: inFlight - waiting, waiting});
    if (nowMs > startMs + (endMs - startMs) * SETTLED_SHARE) {
      world.maxHeldBack = Math.max(world.maxHeldBack, waiting);
    }
    if (nowMs % REPORT_MS === 0) reportLoad(world, inFlight);
  }
}

function reportLoad(world: LimitWorld, inFlight: number): void {
  const shownMs = world.nowMs - world.lagMs;
  const sample = world.samples.findLast(s => s.atMs <= shownMs);
  if (sample === undefined) return;
  const {running, waiting, atMs: observedAtMs} = sample;
  const report = {running, waiting, observedAtMs, inFlight};
  world.adaptive.observe(report, world.nowMs);
}
