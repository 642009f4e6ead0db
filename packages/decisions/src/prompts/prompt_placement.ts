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
 * Load bounds from which an engine gets no more prompts by hash: a multiple of
 * the mean load plus a number of requests. The bounds stay under the load that
 * docs/PROMISES.md allows (2 x mean + 3), because the loads of other daemons
 * are up to one heartbeat old. Prompts with a long subject have the higher
 * bound, so that prompts that are cheap to prefill on another engine move
 * first. Unrelated to `computeLoadBound`, the bound of chats.
 */
const CHEAP_BOUND = {meanMultiple: 1.4, extraRequests: 1.5};
const COSTLY_BOUND = {meanMultiple: 2, extraRequests: 2};
/**
 * Tokens of the subject from which the costly bound applies; their prefill
 * takes about 25 ms of the time of an engine of package `router`. With fewer
 * tokens the bound is interpolated.
 */
const COSTLY_TOKENS = 4000;
/** Fewer tokens are not worth a copy, which takes 8 ms to set up. */
const MIN_COPIED_TOKENS = 500;
/**
 * How long an engine still serves copies of its cache after it stopped
 * accepting requests.
 */
const LEAVING_MS = 10_000;

/**
 * Chooses engines for prompts that share parts. Used by package `router`;
 * package `daemon` uses `CostPlacement`.
 *
 * The last part that a prompt shares with others is its subject. The load of
 * subjects is skewed: at times one subject has far more prompts than any other
 * (a hot subject).
 *
 * Every daemon computes the same order of engines for a subject and chooses the
 * first engine below the load bound. A hot subject thus spreads over only as
 * many engines as its load needs. Engines that are warm for the subject, which
 * means that they still cache it, are tried first.
 */
export class PromptPlacement {
  private readonly history = new EngineHistory();
  private readonly warmEngines = new WarmEngines();

  /**
   * Sets the engines that accept requests.
   *
   * @param nowMs milliseconds since the epoch, like the engines' start times
   */
  setEngines(engines: readonly LiveEngine[], nowMs: number): void {
    this.history.update(engines, nowMs);
  }

  /**
   * Chooses an engine and records it as warm for the subject; undefined without
   * engines.
   *
   * @param nowMs milliseconds since the epoch
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
      this.warmEngines.record(subject.id, choice.engineId, nowMs);
    }
    return choice;
  }

  /** Lists the engines that ended within the history. */
  listEnded(): EndedEngine[] {
    return this.history.listEnded();
  }

  /** Merges ended engines that were recorded before this daemon started. */
  addEnded(ended: readonly EndedEngine[]): void {
    this.history.addEnded(ended);
  }

  /** Records that an engine lost its cache: the engine crashed or restarted. */
  recordCacheLost(engineId: string): void {
    this.warmEngines.recordCacheLost(engineId);
  }

  private chooseForSubject(
    {id: subject, tokens}: PromptPart,
    engines: readonly EngineLoad[],
    bound: number,
    nowMs: number,
  ): PromptChoice | undefined {
    const byId = new Map(engines.map(engine => [engine.id, engine]));
    const ordered = this.history
      .listByPreference(subject, nowMs)
      .flatMap(id => byId.get(id) ?? []);
    const hasCapacity = ({inFlight}: EngineLoad): boolean => inFlight < bound;
    const isWarm = ({id}: EngineLoad): boolean =>
      this.warmEngines.isWarm(subject, id, nowMs);
    const warmRank = ordered.findIndex(
      engine => isWarm(engine) && hasCapacity(engine),
    );
    const rank = warmRank < 0 ? ordered.findIndex(hasCapacity) : warmRank;
    const chosen = ordered[rank];
    if (chosen === undefined) return undefined;
    const isCopyUnneeded = warmRank >= 0 || tokens < MIN_COPIED_TOKENS;
    const sourceId = isCopyUnneeded
      ? undefined
      : this.findCacheSource(subject, chosen.id, byId, nowMs);
    return {
      engineId: chosen.id,
      ...(sourceId === undefined ? {} : {cacheSourceId: sourceId}),
      reason: chooseReason(rank, warmRank >= 0),
      rank,
      inFlight: chosen.inFlight,
      bound,
    };
  }

  /**
   * Finds an engine other than the chosen one that probably caches a subject:
   * its preferred engine, the previous preferred engine while it is leaving, or
   * the engine that was last sent a prompt of the subject, for example while
   * the preferred engine was at its bound. Undefined if there is none.
   */
  private findCacheSource(
    subject: string,
    chosenId: string,
    engines: ReadonlyMap<string, EngineLoad>,
    nowMs: number,
  ): string | undefined {
    const current = this.history.findPreferredEngine(subject, nowMs);
    if (current !== undefined && current.id !== chosenId) return current.id;
    const previous = current?.previous;
    const isLeaving =
      previous !== undefined && nowMs - previous.endedAtMs < LEAVING_MS;
    if (isLeaving) return previous.id;
    const isOther = (id: string): boolean => id !== chosenId && engines.has(id);
    return this.warmEngines.findLastUsed(subject, isOther, nowMs);
  }
}

/**
 * Finds the subject: the last shared part, which is the last but one, since the
 * last part is unique to the request. Undefined if there is no shared part.
 */
export function findSubject(
  parts: readonly PromptPart[],
): PromptPart | undefined {
  return parts.length < 2 ? undefined : parts[parts.length - 2];
}

function chooseReason(rank: number, isWarm: boolean): PromptChoiceReason {
  if (rank === 0) return PromptChoiceReason.PREFERRED;
  return isWarm ? PromptChoiceReason.WARM : PromptChoiceReason.OVERFLOW;
}

/** Lists the engines that are not avoided; all engines if all are avoided. */
function listUsable(engines: readonly EngineLoad[]): readonly EngineLoad[] {
  const usable = engines.filter(engine => !engine.isAvoided);
  return usable.length === 0 ? engines : usable;
}

function computeBound(
  engines: readonly EngineLoad[],
  subjectTokens: number,
): number {
  const total = engines.reduce((sum, engine) => sum + engine.inFlight, 0);
  const mean = total / engines.length;
  const cheap = CHEAP_BOUND.meanMultiple * mean + CHEAP_BOUND.extraRequests;
  const costly = COSTLY_BOUND.meanMultiple * mean + COSTLY_BOUND.extraRequests;
  return cheap + (costly - cheap) * Math.min(1, subjectTokens / COSTLY_TOKENS);
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
