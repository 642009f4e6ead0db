import assert from 'node:assert/strict';
import type {World} from '@cucumber/cucumber';
import type {ServerLoad} from '../workers/worker_load.js';
import type {HedgeDecision, HedgeLimits} from './hedge_limits.js';
import type {HedgePolicy, WatchedAttempt} from './hedge_policy.js';

/** Name of the route of all requests. */
export const ROUTE = 'r';
/** Interval between the answers of the given latencies. */
const ANSWER_STEP_MS = 5;

/** Fixture of one daemon's policy, with the attempts of one request. */
export interface HedgeWorld extends World {
  policy: HedgePolicy;
  limits: HedgeLimits;
  nowMs: number;
  servers: ServerLoad[];
  tried: Set<string>;
  hasRetry: boolean;
  first: WatchedAttempt | undefined;
  hedge: WatchedAttempt | undefined;
  requests: number;
  hedges: number;
}

/** Makes an idle server that replies without failures. */
export function makeServer(id: string, slots: number): ServerLoad {
  return {
    id,
    availabilityZone: 'z1',
    slots,
    inFlight: 0,
    latencyMs: 40,
    failureShare: 0,
    isAvoided: false,
  };
}

/** Records an answer that ends now. */
export function recordAnswer(
  {policy, nowMs}: HedgeWorld,
  server: string,
  latencyMs: number,
): void {
  const sentAtMs = nowMs - latencyMs;
  const attempt = policy.recordSend(ROUTE, server, false, sentAtMs);
  policy.recordAnswer(attempt, nowMs);
}

/** Records answers, one after the other. */
export function recordAnswers(
  world: HedgeWorld,
  count: number,
  getAnswer: (at: number) => readonly [string, number],
): void {
  for (let at = 0; at < count; at += 1) {
    world.nowMs += ANSWER_STEP_MS;
    recordAnswer(world, ...getAnswer(at));
  }
}

/** Checks whether the request may be hedged now. */
export function checkHedge(world: HedgeWorld): HedgeDecision {
  const {policy, servers, tried, hasRetry, nowMs} = world;
  return policy.check(ROUTE, servers, tried, hasRetry, nowMs);
}

/** Opens a request with its first attempt, which pays its share of hedges. */
export function openRequest(world: HedgeWorld, server: string): void {
  for (let at = 0; at < 30; at += 1) {
    world.policy.recordRequest(ROUTE, world.nowMs);
  }
  world.first = world.policy.recordSend(ROUTE, server, false, world.nowMs);
  world.tried.add(server);
}

/** Returns whether a server counts as quick or slow on the route. */
export function isQuick(world: HedgeWorld, id: string): boolean {
  const servers = world.servers.filter(server => server.id === id);
  const {policy, nowMs} = world;
  const decision = policy.check(ROUTE, servers, new Set(), true, nowMs);
  assert.equal(decision.quickServers + decision.slowServers, 1);
  return decision.quickServers === 1;
}
