import {SeededRandom} from '@greengagecross/common';
import {CrashSuspects} from './crash_suspects.js';

const STEP_MS = 5;
const MEAN_WAIT_MS = 100;
const DOWN_MS = 3000;
const DEADLY_WAIT_MS = 150;

/** Load and faults of one simulated run. */
export interface CrashScenario {
  readonly seed: number;
  readonly seconds: number;
  readonly requestsPerSecond: number;
  readonly subjects: number;
  readonly engines: number;
  /** Crashes that no request causes, a second. */
  readonly crashesPerSecond: number;
  /** Share of the requests that have the part `dead`. */
  readonly deadlyShare: number;
}

/** What one simulated run led to. */
export interface CrashRun {
  /** Ids of all parts that were condemned at any time, in order. */
  readonly condemned: readonly string[];
  /**
   * Time from the fifth crash until the last request with the part `dead` was
   * sent; negative if that was before.
   */
  readonly lastDeadlyAfterMs: number;
}

interface Waiting {
  readonly parts: readonly string[];
  readonly engine: number;
  readonly sentAtMs: number;
  readonly endsAtMs: number;
}

/**
 * Simulates requests that wait at engines, some of which crash, with one set of
 * crash suspects. Crashed requests are lost; subjects have skewed popularity.
 */
export function runCrashSimulation(scenario: CrashScenario): CrashRun {
  const random = new SeededRandom(scenario.seed + 1);
  const suspects = new CrashSuspects();
  const upAtMs = new Array<number>(scenario.engines).fill(0);
  const condemned = new Set<string>();
  const crashesAtMs: number[] = [];
  let lastDeadlyMs = 0;
  let waiting: Waiting[] = [];
  const addCrash = (engine: number, nowMs: number): void => {
    crashesAtMs.push(nowMs);
    upAtMs[engine] = nowMs + DOWN_MS;
    for (const {parts, sentAtMs} of waiting.filter(w => w.engine === engine)) {
      suspects.recordCrash(
        parts.map((id, position) => ({id, position})),
        {server: `engine-${engine}`, atMs: nowMs, sentAtMs},
      );
    }
    waiting = waiting.filter(w => w.engine !== engine);
    for (const {id} of suspects.listCondemned()) condemned.add(id);
  };
  const isNow = (perSecond: number): boolean =>
    random.nextUnit() < (perSecond * STEP_MS) / 1000;
  for (let nowMs = 0; nowMs < scenario.seconds * 1000; nowMs += STEP_MS) {
    for (const ended of waiting.filter(w => w.endsAtMs <= nowMs)) {
      if (!waiting.includes(ended)) continue;
      if (ended.parts.includes('dead')) {
        addCrash(ended.engine, nowMs);
        continue;
      }
      waiting = waiting.filter(w => w !== ended);
      suspects.recordAnswer(ended.parts, nowMs);
    }
    if (isNow(scenario.crashesPerSecond)) {
      addCrash(Math.floor(random.nextUnit() * scenario.engines), nowMs);
    }
    let arrivals = (scenario.requestsPerSecond * STEP_MS) / 1000;
    for (; arrivals > 0; arrivals -= 1) {
      if (arrivals < 1 && random.nextUnit() > arrivals) break;
      const isDeadly = random.nextUnit() < scenario.deadlyShare;
      const subject = Math.floor(random.nextUnit() ** 2 * scenario.subjects);
      const parts = [`first-${subject % 3}`, isDeadly ? 'dead' : `s${subject}`];
      if (suspects.findCondemned(parts) !== undefined) continue;
      const engine = Math.floor(random.nextUnit() * scenario.engines);
      if ((upAtMs[engine] ?? 0) > nowMs) continue;
      const waitMs = isDeadly
        ? DEADLY_WAIT_MS
        : random.nextExponential(MEAN_WAIT_MS);
      if (isDeadly) lastDeadlyMs = nowMs;
      waiting.push({parts, engine, sentAtMs: nowMs, endsAtMs: nowMs + waitMs});
    }
  }
  const fifthMs = crashesAtMs[4] ?? Infinity;
  return {
    condemned: [...condemned],
    lastDeadlyAfterMs: lastDeadlyMs - fifthMs,
  };
}
