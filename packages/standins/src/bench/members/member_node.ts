import {Effect, Exit, Scope} from 'effect';
import {
  DEFAULT_TUNING,
  type Address,
  type DaemonSettings,
  type EngineInFlight,
  type Member,
} from '@greengagecross/common';
import {HostFollower, MemberService} from '@greengagecross/daemon';
import {
  computePollMs,
  MemberTable,
  RingNeighbours,
  type NeighbourPolicy,
} from '@greengagecross/decisions';
import type {PeerRpc} from '@greengagecross/peers';
import type {HostListSource} from '@greengagecross/platform';

const FORGET_AFTER_MS = 60_000;

/** What a member of a bench or test is started with. */
export interface NodePlan {
  readonly id: string;
  readonly zone: string;
  readonly control: Address;
  readonly incarnation: number;
  readonly seeds?: readonly Address[];
  readonly heartbeatMs?: number;
  readonly policy?: NeighbourPolicy;
}

/** A daemon's own membership parts, without the rest of the daemon. */
export class MemberNode {
  readonly service: MemberService;
  readonly hosts: HostFollower;
  /** What it reports of itself; tests change it. */
  report: {configurationRevision: number; engines: EngineInFlight[]} = {
    configurationRevision: 0,
    engines: [],
  };
  private readonly table: MemberTable;
  private scope: Scope.Closeable | undefined;

  constructor(
    readonly plan: NodePlan,
    directory: HostListSource,
    peers: PeerRpc,
  ) {
    const {hostListPollMs, heartbeatMs} = DEFAULT_TUNING;
    this.hosts = new HostFollower(directory, () =>
      computePollMs(hostListPollMs, this.service.countAll()),
    );
    this.table = new MemberTable(plan.id, {
      removeAfterMs: FORGET_AFTER_MS,
      refuteMs: plan.heartbeatMs ?? heartbeatMs,
    });
    this.service = new MemberService(
      makeSettings(plan),
      plan.incarnation,
      this.table,
      this.hosts,
      peers,
      plan.heartbeatMs ?? heartbeatMs,
      () => this.report,
      plan.policy ?? new RingNeighbours(),
    );
  }

  /** Starts its fibers, which run until it is stopped. */
  start(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const scope = yield* Scope.make();
      this.scope = scope;
      this.service.setLive();
      yield* Effect.forkIn(this.hosts.run(), scope);
      const running = Scope.provide(this.service.run(), scope);
      yield* Effect.forkIn(running, scope);
    });
  }

  /** Takes in members as if they had been known for long. */
  addKnown(members: readonly Member[], nowMs: number): void {
    for (const member of members) this.table.merge(member, nowMs);
  }

  /** Ends its fibers at once, as a kill does. */
  stop(): Effect.Effect<void> {
    const {scope} = this;
    this.scope = undefined;
    return scope === undefined ? Effect.void : Scope.close(scope, Exit.void);
  }

  /** Returns whether its fibers run. */
  isRunning(): boolean {
    return this.scope !== undefined;
  }

  /** Lists the ids that it takes for live, its own included. */
  listLive(nowMs: number): Set<string> {
    return new Set(this.service.listLive(nowMs).map(member => member.id));
  }
}

function makeSettings(plan: NodePlan): DaemonSettings {
  return {
    id: plan.id,
    region: 'centro',
    availabilityZone: plan.zone,
    callerListener: plan.control,
    controlListener: plan.control,
    platform: plan.control,
    keysFile: 'none',
    seeds: plan.seeds ?? [],
  };
}
