import {hash32} from '@greengagecross/common';
import {computeScore, type HashedId} from '../placement/rendezvous_hash.js';
import type {EngineLoad} from './engine_load.js';
import {PromptChoiceReason, type PromptChoice} from './prompt_choice.js';
import type {PromptPart} from './prompt_part.js';

/**
 * Load at which an engine takes no more prompts by hash, as a multiple of the
 * mean plus some: below the 2 x mean + 3 that docs/PROMISES.md allows, since
 * loads of other daemons are up to a heartbeat old.
 */
const BOUND_PER_MEAN = 1.5;
const BOUND_EXTRA = 2;

interface Candidate extends HashedId {
  readonly load: EngineLoad;
}

/**
 * Chooses engines for prompts that share parts: skewed subjects, one of them
 * at times far hotter than all others.
 *
 * A subject is the last part that other prompts share. Every daemon hashes it
 * to the same order of engines and takes the first one below the load bound,
 * so that a hot subject spreads over as few engines as carry it.
 */
export class PromptPlacement {
  private readonly hashes = new Map<string, number>();

  /** Chooses among engines; undefined when there is none. */
  choose(
    parts: readonly PromptPart[],
    engines: readonly EngineLoad[],
  ): PromptChoice | undefined {
    const usable = listUsable(engines);
    if (usable.length === 0) return undefined;
    const bound = computeBound(usable);
    const subject = findSubject(parts);
    if (subject === undefined) return chooseLeastLoaded(usable, bound);
    const ordered = this.sortByScore(subject.id, usable);
    const rank = ordered.findIndex(({load}) => load.inFlight < bound);
    const chosen = ordered[rank];
    if (chosen === undefined) return chooseLeastLoaded(usable, bound);
    return {
      engineId: chosen.id,
      reason:
        rank === 0 ? PromptChoiceReason.HOME : PromptChoiceReason.OVERFLOW,
      rank,
      inFlight: chosen.load.inFlight,
      bound,
    };
  }

  private sortByScore(
    subject: string,
    engines: readonly EngineLoad[],
  ): Candidate[] {
    const key = hash32(subject);
    return engines
      .map(load => ({id: load.id, hash: this.getHash(load.id), load}))
      .sort(
        (a, b) =>
          computeScore(key, b.hash) - computeScore(key, a.hash) ||
          (a.id < b.id ? -1 : 1),
      );
  }

  private getHash(id: string): number {
    const known = this.hashes.get(id);
    if (known !== undefined) return known;
    const hash = hash32(id);
    this.hashes.set(id, hash);
    return hash;
  }
}

/** Finds the last part that is shared; the very last is the request's own. */
export function findSubject(
  parts: readonly PromptPart[],
): PromptPart | undefined {
  return parts.length < 2 ? undefined : parts[parts.length - 2];
}

/** Lists the engines not avoided; all of them when every one is. */
function listUsable(engines: readonly EngineLoad[]): readonly EngineLoad[] {
  const usable = engines.filter(engine => !engine.isAvoided);
  return usable.length === 0 ? engines : usable;
}

function computeBound(engines: readonly EngineLoad[]): number {
  const total = engines.reduce((sum, engine) => sum + engine.inFlight, 0);
  return (BOUND_PER_MEAN * total) / engines.length + BOUND_EXTRA;
}

function chooseLeastLoaded(
  engines: readonly EngineLoad[],
  bound: number,
): PromptChoice | undefined {
  let least: EngineLoad | undefined;
  for (const engine of engines) {
    if (least === undefined || engine.inFlight < least.inFlight) least = engine;
  }
  if (least === undefined) return undefined;
  return {
    engineId: least.id,
    reason: PromptChoiceReason.LEAST_LOADED,
    rank: -1,
    inFlight: least.inFlight,
    bound,
  };
}
