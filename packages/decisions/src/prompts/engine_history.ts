import {hash32} from '@greengagecross/common';
import {computeScore} from '../placement/rendezvous_hash.js';

/**
 * How far back homes are worked out: about as long as an engine keeps what it
 * has read, in milliseconds.
 */
const HISTORY_MS = 60_000;
/** Engines that start together do so within this time, in milliseconds. */
const SETTLE_MS = 10_000;

/** One life of an engine. */
interface EngineLife {
  readonly id: string;
  readonly hash: number;
  /** Its start, in milliseconds since the epoch. */
  readonly startedAtMs: number;
  /** When it stopped taking requests; infinite while it takes them. */
  endedAtMs: number;
}

/** An engine that no longer takes requests. */
export interface EndedEngine {
  readonly id: string;
  readonly startedAtMs: number;
  /** In milliseconds since the epoch. */
  readonly endedAtMs: number;
}

/** Where a subject lives, and the engine that it lived on before. */
export interface SubjectHome {
  readonly id: string;
  /** Undefined when it did not move within the history. */
  readonly previous?: EndedEngine;
}

/** An engine that takes requests. */
export interface LiveEngine {
  readonly id: string;
  /** Its start, in milliseconds since the epoch. */
  readonly startedAtMs: number;
}

/**
 * Works out which engine a subject lives on while engines join and leave.
 *
 * A plain hash moves subjects to each engine that joins, and has them read
 * again there. Here a subject stays on the engine that it hashed to when the
 * history began, and moves only when that one leaves. All daemons know the
 * same starts and ends, so that they agree without a message.
 */
export class EngineHistory {
  private readonly lives = new Map<string, EngineLife>();
  private ended: EngineLife[] = [];

  /** Takes in the engines that take requests now. */
  update(engines: readonly LiveEngine[], nowMs: number): void {
    const listed = new Map(engines.map(engine => [engine.id, engine]));
    for (const [id, life] of this.lives) {
      if (listed.get(id)?.startedAtMs === life.startedAtMs) continue;
      this.lives.delete(id);
      life.endedAtMs = nowMs;
      this.ended.push(life);
    }
    for (const {id, startedAtMs} of engines) {
      if (this.lives.has(id)) continue;
      const endedAtMs = Number.POSITIVE_INFINITY;
      this.lives.set(id, {id, hash: hash32(id), startedAtMs, endedAtMs});
    }
    this.ended = this.ended.filter(life => nowMs - life.endedAtMs < HISTORY_MS);
  }

  /** Lists the engines that ended within the history. */
  listEnded(): EndedEngine[] {
    return this.ended.map(({id, startedAtMs, endedAtMs}) => ({
      id,
      startedAtMs,
      endedAtMs,
    }));
  }

  /** Takes in ends that were seen before this daemon started. */
  addEnded(ended: readonly EndedEngine[]): void {
    for (const {id, startedAtMs, endedAtMs} of ended) {
      const isKnown = [...this.ended, ...this.lives.values()].some(
        life => life.id === id && life.startedAtMs === startedAtMs,
      );
      if (isKnown) continue;
      this.ended.push({id, hash: hash32(id), startedAtMs, endedAtMs});
    }
  }

  /**
   * Lists the engines that take requests in the order in which a subject's
   * prompts try them: its home first, then by hash.
   */
  listInOrder(subject: string, nowMs: number): string[] {
    const key = hash32(subject);
    const live = sortByScore(key, [...this.lives.values()]);
    const home = this.findLiveHome(key, live, nowMs)?.id;
    const ids = live.map(life => life.id);
    if (home === undefined || home === ids[0]) return ids;
    return [home, ...ids.filter(id => id !== home)];
  }

  /** Finds the engine that a subject lives on; undefined without engines. */
  findHome(subject: string, nowMs: number): SubjectHome | undefined {
    const key = hash32(subject);
    const live = sortByScore(key, [...this.lives.values()]);
    return this.findLiveHome(key, live, nowMs);
  }

  private findLiveHome(
    key: number,
    live: readonly EngineLife[],
    nowMs: number,
  ): SubjectHome | undefined {
    const all =
      this.ended.length === 0
        ? live
        : sortByScore(key, [...live, ...this.ended]);
    let atMs = Math.max(nowMs - HISTORY_MS, findFleetStart(all));
    let previous: EngineLife | undefined;
    for (;;) {
      const home = all.find(
        life => life.startedAtMs <= atMs && life.endedAtMs > atMs,
      );
      const id = home?.id ?? live[0]?.id;
      if (id === undefined) return undefined;
      if (home === undefined || home.endedAtMs === Number.POSITIVE_INFINITY) {
        return previous === undefined ? {id} : {id, previous};
      }
      previous = home;
      atMs = home.endedAtMs;
    }
  }
}

/** Before most engines had started, a home would be one of too few. */
function findFleetStart(lives: readonly EngineLife[]): number {
  const starts = lives.map(life => life.startedAtMs).sort((a, b) => a - b);
  return (starts[Math.floor((starts.length - 1) / 2)] ?? 0) + SETTLE_MS;
}

function sortByScore(key: number, lives: readonly EngineLife[]): EngineLife[] {
  return lives
    .map(life => ({life, score: computeScore(key, life.hash)}))
    .sort((a, b) => b.score - a.score || (a.life.id < b.life.id ? -1 : 1))
    .map(({life}) => life);
}
