import {hash32} from '@greengagecross/common';
import {computeScore} from '../placement/rendezvous_hash.js';

/**
 * Length of the history that preferred engines are computed from: about as long
 * as an engine of package `router` keeps a context in its cache.
 */
const HISTORY_MS = 60_000;
/** Engines that are started together all start within this time. */
const ENGINES_START_MS = 10_000;

/** One run of an engine, from its start to its end. */
interface EngineRun {
  readonly id: string;
  readonly hash: number;
  /** In milliseconds since the epoch. */
  readonly startedAtMs: number;
  /**
   * When the engine stopped accepting requests, in milliseconds since the
   * epoch; infinite until then.
   */
  endedAtMs: number;
}

/**
 * An engine that stopped accepting requests. It may still run and serve copies
 * of its cache.
 */
export interface EndedEngine {
  readonly id: string;
  /** In milliseconds since the epoch. */
  readonly startedAtMs: number;
  /** In milliseconds since the epoch. */
  readonly endedAtMs: number;
}

/**
 * The preferred engine of a subject, and the one before. (A subject has one
 * preferred engine, a chat two; see cost_placement.ts.)
 */
export interface PreferredEngine {
  readonly id: string;
  /** Absent if the subject did not move within the history. */
  readonly previous?: EndedEngine;
}

/** An engine that accepts requests. */
export interface LiveEngine {
  readonly id: string;
  /** In milliseconds since the epoch. */
  readonly startedAtMs: number;
}

/**
 * Computes the preferred engine of each subject while engines join and leave. A
 * subject is the last part of a prompt that other prompts share.
 *
 * Plain hashing would move subjects to every engine that joins, and that engine
 * would have to prefill them again. Here a subject stays on the engine that it
 * hashed to at the beginning of the history. It moves when that engine leaves,
 * or once the history begins after the start of an engine with a higher score.
 *
 * All daemons hold the same starts of engines, and ends that differ by the
 * delay of updates, so that they agree without exchanging messages. Each
 * `nowMs` is in milliseconds since the epoch.
 */
export class EngineHistory {
  private readonly liveRuns = new Map<string, EngineRun>();
  /** Runs that ended within the history. */
  private endedRuns: EngineRun[] = [];

  /**
   * Applies the current list of engines that accept requests. An engine with a
   * new start time has restarted: its earlier run has ended.
   */
  update(engines: readonly LiveEngine[], nowMs: number): void {
    const listed = new Map(engines.map(engine => [engine.id, engine]));
    for (const [id, run] of this.liveRuns) {
      if (listed.get(id)?.startedAtMs === run.startedAtMs) continue;
      this.liveRuns.delete(id);
      run.endedAtMs = nowMs;
      this.endedRuns.push(run);
    }
    for (const {id, startedAtMs} of engines) {
      if (this.liveRuns.has(id)) continue;
      const endedAtMs = Number.POSITIVE_INFINITY;
      this.liveRuns.set(id, {id, hash: hash32(id), startedAtMs, endedAtMs});
    }
    this.endedRuns = this.endedRuns.filter(
      run => nowMs - run.endedAtMs < HISTORY_MS,
    );
  }

  /** Lists the engines that ended within the history. */
  listEnded(): EndedEngine[] {
    return this.endedRuns.map(({id, startedAtMs, endedAtMs}) => ({
      id,
      startedAtMs,
      endedAtMs,
    }));
  }

  /** Merges ended engines that were recorded before this daemon started. */
  addEnded(ended: readonly EndedEngine[]): void {
    for (const {id, startedAtMs, endedAtMs} of ended) {
      const isRecorded = [...this.endedRuns, ...this.liveRuns.values()].some(
        run => run.id === id && run.startedAtMs === startedAtMs,
      );
      if (isRecorded) continue;
      this.endedRuns.push({id, hash: hash32(id), startedAtMs, endedAtMs});
    }
  }

  /**
   * Lists the engines that accept requests in the order in which they are tried
   * for a subject: the preferred engine first, then by hash.
   */
  listByPreference(subject: string, nowMs: number): string[] {
    const key = hash32(subject);
    const live = sortByScore(key, [...this.liveRuns.values()]);
    const preferred = this.computePreferred(key, live, nowMs)?.id;
    const ids = live.map(run => run.id);
    if (preferred === undefined || preferred === ids[0]) return ids;
    return [preferred, ...ids.filter(id => id !== preferred)];
  }

  /** Finds a subject's preferred engine; undefined without engines. */
  findPreferredEngine(
    subject: string,
    nowMs: number,
  ): PreferredEngine | undefined {
    const key = hash32(subject);
    const live = sortByScore(key, [...this.liveRuns.values()]);
    return this.computePreferred(key, live, nowMs);
  }

  /**
   * Replays the history: whenever the preferred engine ends, the engine of the
   * highest score among those running at that time replaces it.
   */
  private computePreferred(
    key: number,
    live: readonly EngineRun[],
    nowMs: number,
  ): PreferredEngine | undefined {
    const all =
      this.endedRuns.length === 0
        ? live
        : sortByScore(key, [...live, ...this.endedRuns]);
    let atMs = Math.max(nowMs - HISTORY_MS, findEnginesStart(all));
    let previous: EngineRun | undefined;
    for (;;) {
      const preferred = all.find(
        run => run.startedAtMs <= atMs && run.endedAtMs > atMs,
      );
      const id = preferred?.id ?? live[0]?.id;
      if (id === undefined) return undefined;
      if (
        preferred === undefined ||
        preferred.endedAtMs === Number.POSITIVE_INFINITY
      ) {
        return previous === undefined ? {id} : {id, previous};
      }
      previous = preferred;
      atMs = preferred.endedAtMs;
    }
  }
}

/**
 * Estimates when the engines had started: a fixed time after the median start.
 * Before that, subjects would be shared among too few engines.
 */
function findEnginesStart(runs: readonly EngineRun[]): number {
  const starts = runs.map(run => run.startedAtMs).sort((a, b) => a - b);
  return (starts[Math.floor((starts.length - 1) / 2)] ?? 0) + ENGINES_START_MS;
}

function sortByScore(key: number, runs: readonly EngineRun[]): EngineRun[] {
  return runs
    .map(run => ({run, score: computeScore(key, run.hash)}))
    .sort((a, b) => b.score - a.score || (a.run.id < b.run.id ? -1 : 1))
    .map(({run}) => run);
}
