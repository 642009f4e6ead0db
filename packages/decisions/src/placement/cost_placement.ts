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
import {ShortList} from './short_list.js';

const HOME_COUNT = 2;
const PROBE_COUNT = 8;
/** A customer at its limit is refused after few calls. */
const SHARE_PROBE_COUNT = 4;
const REMOTE_DISTANCE = 0.3;
const ZONE_DISTANCE = 0.2;

/**
 * Stays on the ticket's engine while it is under its bound, and beyond that
 * while waiting there costs less than the context would elsewhere.
 *
 * Other chats go to the less loaded of two rendezvous homes, so that a chat
 * whose ticket was lost probably finds its context again.
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
    const others = listOthers(request, group, loads)
      .map(engine => makeChoice(costs, request, group, loads, engine))
      .sort((a, b) => a.costMs - b.costMs);
    const choices = sortChoices(costs, request, group, loads, others);
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
  others: readonly PlacementChoice[],
): PlacementChoice[] {
  const engine = request.ticket?.engine;
  if (engine === undefined || !group.has(engine)) return [...others];
  const warm = makeChoice(costs, request, group, loads, engine);
  const [first, ...rest] = others;
  // Reported counts lag, so only the owner may decide that it is full.
  const isStaying =
    first === undefined || !loads.isOwn(engine) || warm.costMs <= first.costMs;
  return isStaying ? [warm, ...others] : [first, warm, ...rest];
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
  const moveMs = costs.computeContextMs(ticket, '', nowMs);
  return {
    engine,
    reason: PlacementReason.FALLBACK,
    inFlight,
    bound: loads.bound,
    waitMs,
    contextMs,
    costMs: costs.computeCostMs(waitMs, contextMs, preference),
    maxWaitMs: isWarm ? costs.computeMaxWaitMs(waitMs, moveMs, preference) : 0,
  };
}

function findReason(
  choice: PlacementChoice | undefined,
  ticket: Ticket | undefined,
  group: EngineGroup,
  loads: EngineLoads,
): PlacementReason {
  if (ticket === undefined) return PlacementReason.HOME;
  if (!group.has(ticket.engine)) return PlacementReason.ENGINE_LEAVING;
  if (choice?.engine !== ticket.engine) return PlacementReason.MOVED_BOUND;
  return choice.inFlight < loads.bound
    ? PlacementReason.TICKET_WARM
    : PlacementReason.WAIT_WARM;
}

interface LoadedEngine {
  readonly engine: string;
  /** Requests in flight, and under one more for the distance. */
  readonly load: number;
}

/** Lists the ticket's earlier engine, a home, then a few by their load. */
function listOthers(
  request: PlacementRequest,
  group: EngineGroup,
  loads: EngineLoads,
): string[] {
  const {ticket} = request;
  const probed = listProbed(request, group).map(engine => ({
    engine,
    load: loads.count(engine) + computeDistance(request, group, loads, engine),
  }));
  const [home] = sortByLoad(probed.slice(0, HOME_COUNT));
  const earlier = ticket?.earlier?.engine;
  const listed = new Set<string>();
  if (earlier !== undefined && group.has(earlier)) listed.add(earlier);
  if (home !== undefined && home.load < loads.bound) listed.add(home.engine);
  for (const {engine} of sortByLoad(probed)) listed.add(engine);
  if (ticket !== undefined) listed.delete(ticket.engine);
  return [...listed];
}

/**
 * Lists the engines that come first for the chat by rendezvous. Each chat looks
 * at others, so that a lagging report draws no crowd to one engine.
 */
function listProbed(
  {chatKey, ticket, engines}: PlacementRequest,
  group: EngineGroup,
): string[] {
  const key = hash32(chatKey);
  const count = engines === undefined ? PROBE_COUNT : SHARE_PROBE_COUNT;
  const probed = new ShortList<string>(count);
  for (const {id, hash} of engines ?? group.hashedIds) {
    if (id !== ticket?.engine) probed.add(id, -computeScore(key, hash));
  }
  return probed.list();
}

function sortByLoad(engines: readonly LoadedEngine[]): LoadedEngine[] {
  return [...engines].sort((a, b) => a.load - b.load);
}

/** Computes a distance under one request, which only breaks ties of load. */
function computeDistance(
  request: PlacementRequest,
  group: EngineGroup,
  loads: EngineLoads,
  engine: string,
): number {
  const isNear = group.findZone(engine) === request.availabilityZone;
  const isOwn = loads.isOwn(engine);
  return (isNear ? 0 : ZONE_DISTANCE) + (isOwn ? 0 : REMOTE_DISTANCE);
}
