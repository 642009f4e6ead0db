import {Clock, Effect} from 'effect';
import type {
  EngineInFlight,
  Member,
  RecentOutcome,
} from '@greengagecross/common';
import type {EngineLedger} from '@greengagecross/decisions';
import type {ClaimStore} from '../claims/claim_store.js';
import type {ConfigurationFollower} from '../configuration/configuration_follower.js';
import type {ConfigurationState} from '../configuration/configuration_state.js';
import type {HostFollower} from '../hosts/host_follower.js';
import type {DaemonMetrics} from '../metrics/daemon_metrics.js';
import type {MemberService} from '../members/member_service.js';
import type {OrderReport} from '../orders/order_report.js';
import type {OrderService} from '../orders/order_service.js';
import type {SuspectDump} from '../suspects/suspect_dump.js';

/** A daemon's state, without customers' texts or secrets. */
export interface DaemonState {
  readonly self: Member;
  readonly atMs: number;
  readonly uptimeMs: number;
  readonly configuration: ConfigurationState;
  readonly hostListIsCurrent: boolean;
  /** Live daemons; includes this daemon if it is live. */
  readonly live: readonly Member[];
  readonly ownedEngines: readonly EngineInFlight[];
  /** Services for whose orders this daemon holds the lease. */
  readonly orders: readonly OrderReport[];
  readonly memoryBytes: number;
  /** Outcomes reported to callers within the last minute. */
  readonly recentOutcomes: readonly RecentOutcome[];
  /** Claims of ended requests whose result is not yet in the table. */
  readonly pendingClaims: number;
  /** Since when claims are pending in this sense; undefined without any. */
  readonly pendingClaimsSinceMs: number | undefined;
  readonly suspects: SuspectDump;
}

/** Reads a daemon's complete state for operators. */
export class StateDump {
  constructor(
    private readonly members: MemberService,
    private readonly configuration: ConfigurationFollower,
    private readonly hosts: HostFollower,
    private readonly ledger: EngineLedger,
    private readonly metrics: DaemonMetrics,
    private readonly claims: ClaimStore,
    private readonly orders: OrderService,
    private readonly startedAtMs: number,
    private readonly describeSuspects: (nowMs: number) => SuspectDump,
  ) {}

  /** Reads the current state. */
  read(): Effect.Effect<DaemonState> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      return {
        self: this.members.getSelf(),
        atMs: nowMs,
        uptimeMs: nowMs - this.startedAtMs,
        configuration: this.configuration.getState(),
        hostListIsCurrent: this.hosts.isCurrent(),
        live: this.members.listLive(nowMs),
        ownedEngines: this.ledger.listCounts(),
        orders: this.orders.listReports(nowMs),
        memoryBytes: process.memoryUsage().rss,
        recentOutcomes: this.metrics.listRecentOutcomes(nowMs),
        pendingClaims: this.claims.countPending(),
        pendingClaimsSinceMs: this.claims.getPendingSinceMs(),
        suspects: this.describeSuspects(nowMs),
      };
    });
  }
}
