import type {ServerLoad} from '../workers/worker_load.js';
import {FleetRetryBudget, type RetryLimits} from './fleet_retry_budget.js';
import {
  HedgeRefusal,
  type HedgeDecision,
  type HedgeDelay,
  type HedgeLimits,
} from './hedge_limits.js';
import {MAX_LATENCY_AGE_MS, RecentLatencies} from './recent_latencies.js';

/**
 * Window in which the hedges of a route are compared with its requests: as long
 * as latencies are kept. A daemon of a large fleet gets few requests of a route,
 * and in a shorter window they would never pay for a hedge.
 */
const SHARE_WINDOW_MS = 30_000;
/**
 * Share of a service's slots above which no hedge is sent. Of three servers, two
 * thirds of the slots remain after the loss of one; hedges add at most a tenth
 * to the load, and 2/3 / 1.1 = 0.6.
 */
const MAX_BUSY_SHARE = 0.6;

/**
 * Answers by which a server is judged. The chooser turns away from a server
 * after a slow answer, so that the last answers before are slow more often than
 * others: with three, 91 of 95 hedges were refused as all servers were slow.
 */
const JUDGED_ANSWERS = 10;

/** An attempt that is under way, as `recordSend` returned it. */
export interface WatchedAttempt {
  readonly route: string;
  readonly serverId: string;
  readonly sentAtMs: number;
  readonly isHedge: boolean;
}

/** What is known of one server on one route. */
interface ServerRecord {
  /** Last latencies; lower bounds for attempts that lost or were cancelled. */
  readonly latenciesMs: number[];
  recordedAtMs: number;
  /** When the last answer arrived. */
  answeredAtMs: number;
  /** Open attempts in the order in which they were sent. */
  readonly open: Set<WatchedAttempt>;
}

interface RouteRecord {
  readonly latencies: RecentLatencies;
  readonly servers: Map<string, ServerRecord>;
  usedAtMs: number;
}

/**
 * Decides when an idempotent request is also sent to a second server. Meant for
 * a slow tail of few servers while most are quick; if all servers are slow, or
 * their slots are short, a second attempt would only add load.
 *
 * Used by package `router`, one for each daemon. Each `nowMs` is in milliseconds
 * of the monotonic clock.
 */
export class HedgePolicy {
  private readonly routes = new Map<string, RouteRecord>();
  /** Requests and hedges by route. */
  private readonly shares = new FleetRetryBudget(makeShareLimits(undefined));

  constructor(private limits?: HedgeLimits) {
    this.setLimits(limits);
  }

  /** Replaces the limits; undefined turns hedging off. */
  setLimits(limits: HedgeLimits | undefined): void {
    this.limits = limits;
    this.shares.setLimits(makeShareLimits(limits));
    if (limits === undefined) this.routes.clear();
  }

  /** Returns whether hedging is turned on. */
  isOn(): boolean {
    return this.limits !== undefined;
  }

  /** Records a request, which adds to the hedges allowed on its route. */
  recordRequest(route: string, nowMs: number): void {
    this.shares.recordFirstTry(route, nowMs);
  }

  /** Records that an attempt is being sent. */
  recordSend(
    route: string,
    serverId: string,
    isHedge: boolean,
    nowMs: number,
  ): WatchedAttempt {
    const attempt = {route, serverId, sentAtMs: nowMs, isHedge};
    this.getServer(attempt, nowMs).open.add(attempt);
    return attempt;
  }

  /** Records that an attempt ended with a valid answer. */
  recordAnswer(attempt: WatchedAttempt, nowMs: number): void {
    this.recordLatency(attempt, nowMs);
    this.getServer(attempt, nowMs).answeredAtMs = nowMs;
  }

  /** Records that an attempt failed or was answered with a 5xx status. */
  recordFailure(attempt: WatchedAttempt, nowMs: number): void {
    this.getServer(attempt, nowMs).open.delete(attempt);
  }

  /**
   * Records that an attempt was closed before it ended: the other one won, the
   * client disconnected or the deadline expired. If it was open for longer than
   * the delay, that time is a lower bound of a latency above the quantile.
   */
  recordCancelled(attempt: WatchedAttempt, nowMs: number): void {
    const delayMs = this.findDelay(attempt.route, nowMs)?.delayMs ?? Infinity;
    if (nowMs - attempt.sentAtMs > delayMs) this.recordLatency(attempt, nowMs);
    else this.recordFailure(attempt, nowMs);
  }

  /**
   * Finds the time after which a request of a route is hedged; undefined if
   * hedging is off or too few recent latencies are known.
   */
  findDelay(route: string, nowMs: number): HedgeDelay | undefined {
    const {limits} = this;
    if (limits === undefined) return undefined;
    const quantile = this.routes
      .get(route)
      ?.latencies.findQuantile(limits.maxExtraShare, nowMs);
    if (quantile === undefined) return undefined;
    return {
      delayMs: Math.max(limits.minDelayMs, quantile.latencyMs),
      samples: quantile.samples,
      ageMs: nowMs - quantile.newestAtMs,
    };
  }

  /**
   * Checks whether a request that is open after its delay may be hedged, and
   * at which servers. `take` then takes the hedge.
   *
   * @param servers available servers of the service, the tried ones included
   * @param tried ids of the servers that the request was sent to
   * @param hasRetry whether a retry is left in the service's budget
   */
  check(
    route: string,
    servers: readonly ServerLoad[],
    tried: ReadonlySet<string>,
    hasRetry: boolean,
    nowMs: number,
  ): HedgeDecision {
    const delayMs = this.findDelay(route, nowMs)?.delayMs;
    const counts = {inFlight: 0, slots: 0, quickServers: 0, slowServers: 0};
    const quickIds = new Set<string>();
    const unknownIds = new Set<string>();
    for (const {id, inFlight, slots, isAvoided} of servers) {
      counts.inFlight += inFlight;
      counts.slots += slots;
      const isQuick = this.isQuick(route, id, delayMs ?? 0, nowMs);
      if (isQuick === true) counts.quickServers += 1;
      if (isQuick === false) counts.slowServers += 1;
      if (isAvoided || inFlight >= slots || tried.has(id)) continue;
      if (isQuick === true) quickIds.add(id);
      if (isQuick === undefined) unknownIds.add(id);
    }
    const serverIds = quickIds.size > 0 ? quickIds : unknownIds;
    const findRefusal = (): HedgeRefusal | undefined => {
      if (delayMs === undefined) return HedgeRefusal.OFF;
      if (counts.inFlight + 1 > MAX_BUSY_SHARE * counts.slots) {
        return HedgeRefusal.BUSY;
      }
      if (counts.slowServers > counts.quickServers) {
        return HedgeRefusal.ALL_SLOW;
      }
      if (serverIds.size === 0) return HedgeRefusal.NO_SERVER;
      if (!this.hasShare(route, nowMs)) return HedgeRefusal.SHARE;
      return hasRetry ? undefined : HedgeRefusal.RETRY_BUDGET;
    };
    return {refusal: findRefusal(), serverIds, ...counts};
  }

  /** Takes one hedge from the share of a route; false if none remains. */
  take(route: string, nowMs: number): boolean {
    return this.shares.take(route, 1, nowMs);
  }

  private hasShare(route: string, nowMs: number): boolean {
    return this.shares.countRemaining(route, 1, nowMs) >= 1;
  }

  /**
   * Returns whether a server answers a route within the delay: most of its last
   * answers did, and it has answered since each overdue attempt was sent.
   * Undefined without a recent answer.
   */
  private isQuick(
    route: string,
    serverId: string,
    delayMs: number,
    nowMs: number,
  ): boolean | undefined {
    const record = this.routes.get(route)?.servers.get(serverId);
    if (record === undefined) return undefined;
    for (const {sentAtMs} of record.open) {
      const isOverdue = nowMs - sentAtMs >= delayMs;
      if (isOverdue && sentAtMs >= record.answeredAtMs) return false;
    }
    if (nowMs - record.recordedAtMs > MAX_LATENCY_AGE_MS) return undefined;
    const {latenciesMs} = record;
    const quick = latenciesMs.filter(latencyMs => latencyMs <= delayMs);
    return quick.length > latenciesMs.length / 2;
  }

  private recordLatency(attempt: WatchedAttempt, nowMs: number): void {
    const latencyMs = nowMs - attempt.sentAtMs;
    const server = this.getServer(attempt, nowMs);
    server.open.delete(attempt);
    server.latenciesMs.push(latencyMs);
    if (server.latenciesMs.length > JUDGED_ANSWERS) server.latenciesMs.shift();
    server.recordedAtMs = nowMs;
    if (attempt.isHedge) return;
    this.getRoute(attempt.route, nowMs).latencies.record(latencyMs, nowMs);
  }

  private getServer(
    {route, serverId}: Pick<WatchedAttempt, 'route' | 'serverId'>,
    nowMs: number,
  ): ServerRecord {
    const {servers} = this.getRoute(route, nowMs);
    const known = servers.get(serverId);
    if (known !== undefined) return known;
    for (const [id, {open, recordedAtMs}] of servers) {
      const isOld = nowMs - recordedAtMs > MAX_LATENCY_AGE_MS;
      if (isOld && open.size === 0) servers.delete(id);
    }
    const record = {
      latenciesMs: [],
      recordedAtMs: -Infinity,
      answeredAtMs: -Infinity,
      open: new Set<WatchedAttempt>(),
    };
    servers.set(serverId, record);
    return record;
  }

  private getRoute(route: string, nowMs: number): RouteRecord {
    const known = this.routes.get(route);
    if (known !== undefined) {
      known.usedAtMs = nowMs;
      return known;
    }
    for (const [name, {usedAtMs}] of this.routes) {
      if (nowMs - usedAtMs > MAX_LATENCY_AGE_MS) this.routes.delete(name);
    }
    const record = {
      latencies: new RecentLatencies(),
      servers: new Map<string, ServerRecord>(),
      usedAtMs: nowMs,
    };
    this.routes.set(route, record);
    return record;
  }
}

function makeShareLimits(limits: HedgeLimits | undefined): RetryLimits {
  const ratio = limits?.maxExtraShare ?? 0;
  return {ratio, slack: 0, windowMs: SHARE_WINDOW_MS};
}
