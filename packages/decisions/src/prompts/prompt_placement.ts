import {
  EngineHistory,
  type EndedEngine,
  type LiveEngine,
} from './engine_history.js';
import type {EngineLoad} from './engine_load.js';
import {PromptChoiceReason, type PromptChoice} from './prompt_choice.js';
import type {PromptPart} from './prompt_part.js';
import {WarmEngines} from './warm_engines.js';

/**
 * Loads at which an engine takes no more prompts by hash, as a multiple of the
 * mean plus some. docs/PROMISES.md allows 2 x mean + 3; loads of other daemons
 * are up to a heartbeat old, which the difference pays for. A prompt whose
 * shared parts are long to read has the higher bound: those that are cheap to
 * read elsewhere give way first.
 */
const CHEAP_BOUND = {perMean: 1.4, extra: 1.5};
const COSTLY_BOUND = {perMean: 2, extra: 2};
/** Shared tokens that are costly to read: about 25 ms of an engine's time. */
const COSTLY_TOKENS = 4000;
/** Fewer tokens are not worth a copy, whose setup takes 8 ms. */
const MIN_COPIED_TOKENS = 500;
/** An engine that leaves serves for some seconds more, in milliseconds. */
const LEAVING_MS = 10_000;

/**
 * Chooses engines for prompts that share parts: skewed subjects, one of them
 * at times far hotter than all others.
 *
 * A subject is the last part that other prompts share. Every daemon works out
 * the same order of engines for it and takes the first one below the load
 * bound, so that a hot subject spreads over as few engines as carry it.
 * Engines that are warm for the subject go first.
 */
export class PromptPlacement {
  private readonly history = new EngineHistory();
  private readonly warm = new WarmEngines();

  /**
   * Takes in the engines that take requests.
   *
   * @param nowMs time since the epoch, as in the engines' starts
   */
  setEngines(engines: readonly LiveEngine[], nowMs: number): void {
    this.history.update(engines, nowMs);
  }

  /**
   * Chooses among engines, and remembers the choice; undefined when there is
   * none.
   *
   * @param nowMs time since the epoch
   */
  choose(
    parts: readonly PromptPart[],
    engines: readonly EngineLoad[],
    nowMs: number,
  ): PromptChoice | undefined {
    const usable = listUsable(engines);
    if (usable.length === 0) return undefined;
    const subject = findSubject(parts);
    const bound = computeBound(usable, subject?.tokens ?? 0);
    if (subject === undefined) return chooseLeastLoaded(usable, bound);
    const choice =
      this.chooseForSubject(subject, usable, bound, nowMs) ??
      chooseLeastLoaded(usable, bound);
    if (choice !== undefined) {
      this.warm.record(subject.id, choice.engineId, nowMs);
    }
    return choice;
  }

  /** Lists the engines that ended lately. */
  listEnded(): EndedEngine[] {
    return this.history.listEnded();
  }

  /** Takes in ends that were seen before this daemon started. */
  addEnded(ended: readonly EndedEngine[]): void {
    this.history.addEnded(ended);
  }

  /** Forgets what an engine had read: it crashed or started anew. */
  removeEngine(engineId: string): void {
    this.warm.removeEngine(engineId);
  }

  private chooseForSubject(
    {id: subject, tokens}: PromptPart,
    engines: readonly EngineLoad[],
    bound: number,
    nowMs: number,
  ): PromptChoice | undefined {
    const byId = new Map(engines.map(engine => [engine.id, engine]));
    const ordered = this.history
      .listInOrder(subject, nowMs)
      .flatMap(id => byId.get(id) ?? []);
    const hasRoom = ({inFlight}: EngineLoad): boolean => inFlight < bound;
    const isWarm = ({id}: EngineLoad): boolean =>
      this.warm.isWarm(subject, id, nowMs);
    const warmRank = ordered.findIndex(
      engine => isWarm(engine) && hasRoom(engine),
    );
    const rank = warmRank < 0 ? ordered.findIndex(hasRoom) : warmRank;
    const chosen = ordered[rank];
    if (chosen === undefined) return undefined;
    const isRead = warmRank >= 0 || tokens < MIN_COPIED_TOKENS;
    const sourceId = isRead
      ? undefined
      : this.findMemorySource(subject, chosen.id, byId, nowMs);
    return {
      engineId: chosen.id,
      ...(sourceId === undefined ? {} : {memorySourceId: sourceId}),
      reason: chooseReason(rank, warmRank >= 0),
      rank,
      inFlight: chosen.inFlight,
      bound,
    };
  }

  /**
   * Finds an engine other than the chosen one that has read a subject: its
   * home, the one that leaves and was its home, or one that took what the home
   * had no room for.
   */
  private findMemorySource(
    subject: string,
    chosenId: string,
    engines: ReadonlyMap<string, EngineLoad>,
    nowMs: number,
  ): string | undefined {
    const home = this.history.findHome(subject, nowMs);
    if (home !== undefined && home.id !== chosenId) return home.id;
    const previous = home?.previous;
    const isLeaving =
      previous !== undefined && nowMs - previous.endedAtMs < LEAVING_MS;
    if (isLeaving) return previous.id;
    const isOther = (id: string): boolean => id !== chosenId && engines.has(id);
    return this.warm.findLast(subject, isOther, nowMs);
  }
}

/** Finds the last part that is shared; the very last is the request's own. */
export function findSubject(
  parts: readonly PromptPart[],
): PromptPart | undefined {
  return parts.length < 2 ? undefined : parts[parts.length - 2];
}

function chooseReason(rank: number, isWarm: boolean): PromptChoiceReason {
  if (rank === 0) return PromptChoiceReason.HOME;
  return isWarm ? PromptChoiceReason.WARM : PromptChoiceReason.OVERFLOW;
}

/** Lists the engines not avoided; all of them when every one is. */
function listUsable(engines: readonly EngineLoad[]): readonly EngineLoad[] {
  const usable = engines.filter(engine => !engine.isAvoided);
  return usable.length === 0 ? engines : usable;
}

function computeBound(
  engines: readonly EngineLoad[],
  sharedTokens: number,
): number {
  const total = engines.reduce((sum, engine) => sum + engine.inFlight, 0);
  const mean = total / engines.length;
  const cheap = CHEAP_BOUND.perMean * mean + CHEAP_BOUND.extra;
  const costly = COSTLY_BOUND.perMean * mean + COSTLY_BOUND.extra;
  return cheap + (costly - cheap) * Math.min(1, sharedTokens / COSTLY_TOKENS);
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
