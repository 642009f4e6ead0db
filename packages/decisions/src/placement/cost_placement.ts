import {hash32, PlacementReason, type Ticket} from '@greengagecross/common';
import type {EngineGroup} from './engine_group.js';
import type {PlacementCosts} from './placement_costs.js';
import {
  PlacementPolicy,
  type EngineLoads,
  type PlacementChoice,
  type PlacementRequest,
} from './placement_policy.js';
import {computeScore} from './rendezvous_hash.js';
import {LowestRanked} from './lowest_ranked.js';

/**
 * How many of a chat's first candidates are its preferred engines. (The subject
 * of a prompt has one preferred engine; see engine_history.ts.)
 */
const PREFERRED_COUNT = 2;
const CANDIDATE_COUNT = 8;
/**
 * Candidates for a customer that is restricted to a few engines: fewer, so that
 * a request over the customer's limit is refused after few RPCs.
 */
const SUBSET_CANDIDATE_COUNT = 4;
/** In requests; added to the load of an engine that another daemon owns. */
const OWNER_PENALTY = 0.3;
/** In requests; added to the load of an engine in another zone. */
const ZONE_PENALTY = 0.2;

/**
 * Places chats by estimated cost. Used by package `daemon`; package `router`
 * uses `PromptPlacement`.
 *
 * Each answer carries a ticket, which the caller sends with the chat's next
 * request. The ticket names the engine that served the chat. This engine is
 * called warm: it probably still caches the chat's context. (In prompts/ an
 * engine is warm for a subject after a prompt of that subject.)
 *
 * A chat stays on its ticket's engine while that engine is under its bound (the
 * most requests that an engine may have in flight; see `computeLoadBound`), and
 * also at the bound while waiting there costs less than rebuilding the context
 * on another engine.
 *
 * Other chats go to the less loaded of their two preferred engines, which are
 * chosen by rendezvous hashing. A chat whose ticket was lost thus probably
 * finds its context again.
 */
export class CostPlacement extends PlacementPolicy {
  constructor(private readonly getCosts: (service: string) => PlacementCosts) {
    super();
  }

  override choose(
    request: PlacementRequest,
    group: EngineGroup,
    loads: EngineLoads,
  ): PlacementChoice[] {
    const costs = this.getCosts(group.service);
    const alternatives = listAlternatives(request, group, loads)
      .map(engine => makeChoice(costs, request, group, loads, engine))
      .sort((a, b) => a.costMs - b.costMs);
    const choices = sortChoices(costs, request, group, loads, alternatives);
    const reason = findReason(choices[0], request.ticket, group, loads);
    return choices.map((choice, index) => ({
      ...choice,
      reason: index === 0 ? reason : PlacementReason.FALLBACK,
    }));
  }
}

/** Puts the warm engine first unless it is full and moving costs less. */
function sortChoices(
  costs: PlacementCosts,
  request: PlacementRequest,
  group: EngineGroup,
  loads: EngineLoads,
  alternatives: readonly PlacementChoice[],
): PlacementChoice[] {
  const engine = request.ticket?.engine;
  if (engine === undefined || !group.has(engine)) return [...alternatives];
  const warm = makeChoice(costs, request, group, loads, engine);
  const [first, ...rest] = alternatives;
  // The chat stays if another daemon owns the engine: the count reported here
  // lags, and the owner itself refuses when the engine is full.
  const isStaying =
    first === undefined ||
    !loads.isOwnedLocally(engine) ||
    warm.costMs <= first.costMs;
  return isStaying ? [warm, ...alternatives] : [first, warm, ...rest];
}

function makeChoice(
  costs: PlacementCosts,
  request: PlacementRequest,
  group: EngineGroup,
  loads: EngineLoads,
  engine: string,
): PlacementChoice {
  const {ticket, nowMs} = request;
  const {preference} = group.rules;
  const inFlight = loads.count(engine);
  const waitMs = costs.computeWaitMs(inFlight, loads.bound);
  const contextMs = costs.computeContextMs(ticket, engine, nowMs);
  const isWarm = engine === ticket?.engine;
  // The empty id stands for an engine that caches no part of the context.
  const fullContextMs = costs.computeContextMs(ticket, '', nowMs);
  return {
    engine,
    reason: PlacementReason.FALLBACK,
    inFlight,
    bound: loads.bound,
    waitMs,
    contextMs,
    costMs: costs.computeCostMs(waitMs, contextMs, preference),
    maxWaitMs: isWarm
      ? costs.computeMaxWaitMs(waitMs, fullContextMs, preference)
      : 0,
  };
}

function findReason(
  choice: PlacementChoice | undefined,
  ticket: Ticket | undefined,
  group: EngineGroup,
  loads: EngineLoads,
): PlacementReason {
  if (ticket === undefined) return PlacementReason.PREFERRED;
  if (!group.has(ticket.engine)) return PlacementReason.ENGINE_LEAVING;
  if (choice?.engine !== ticket.engine) return PlacementReason.MOVED_BOUND;
  return choice.inFlight < loads.bound
    ? PlacementReason.TICKET_WARM
    : PlacementReason.WAIT_WARM;
}

interface LoadedEngine {
  readonly engine: string;
  /** Requests in flight plus the penalties of zone and owner. */
  readonly load: number;
}

/**
 * Lists the engines to try besides the ticket's engine: the engine that the
 * chat used before that one, the less loaded preferred engine if it is under
 * the bound, then the other candidates by load. Of engines of equal cost, the
 * one listed first is tried first.
 */
function listAlternatives(
  request: PlacementRequest,
  group: EngineGroup,
  loads: EngineLoads,
): string[] {
  const {ticket} = request;
  const candidates = listCandidates(request, group).map(engine => ({
    engine,
    load: loads.count(engine) + computePenalty(request, group, loads, engine),
  }));
  const [best] = sortByLoad(candidates.slice(0, PREFERRED_COUNT));
  const earlier = ticket?.earlier?.engine;
  const listed = new Set<string>();
  if (earlier !== undefined && group.has(earlier)) listed.add(earlier);
  if (best !== undefined && best.load < loads.bound) listed.add(best.engine);
  for (const {engine} of sortByLoad(candidates)) listed.add(engine);
  if (ticket !== undefined) listed.delete(ticket.engine);
  return [...listed];
}

/**
 * Lists the engines that come first for the chat by rendezvous hashing, without
 * the ticket's engine. The candidates differ from chat to chat, so that an
 * outdated count of an engine's load does not send many chats to one engine.
 */
function listCandidates(
  {chatKey, ticket, eligibleEngines: engines}: PlacementRequest,
  group: EngineGroup,
): string[] {
  const key = hash32(chatKey);
  const count =
    engines === undefined ? CANDIDATE_COUNT : SUBSET_CANDIDATE_COUNT;
  const candidates = new LowestRanked<string>(count);
  for (const {id, hash} of engines ?? group.hashedIds) {
    if (id !== ticket?.engine) candidates.add(id, -computeScore(key, hash));
  }
  return candidates.list();
}

function sortByLoad(engines: readonly LoadedEngine[]): LoadedEngine[] {
  return [...engines].sort((a, b) => a.load - b.load);
}

/**
 * Computes the load penalty of an engine in another zone or owned by another
 * daemon. Penalties add up to less than one request, so that they only break
 * ties.
 */
function computePenalty(
  request: PlacementRequest,
  group: EngineGroup,
  loads: EngineLoads,
  engine: string,
): number {
  const isSameZone = group.findZone(engine) === request.availabilityZone;
  const isOwned = loads.isOwnedLocally(engine);
  return (isSameZone ? 0 : ZONE_PENALTY) + (isOwned ? 0 : OWNER_PENALTY);
}
