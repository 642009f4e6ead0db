import {Clock, Effect, FiberMap, type Scope} from 'effect';
import {
  Logger,
  MemberState,
  type Address,
  type DaemonSettings,
  type EngineCount,
  type Member,
} from '@greengagecross/common';
import type {MemberTable} from '@greengagecross/decisions';
import {
  HeartbeatSchema,
  PeerMethod,
  type Heartbeat,
  type PeerClient,
} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';

const logger = new Logger('members');

/** What a daemon tells its peers beside its settings. */
export interface SelfReport {
  readonly configurationRevision: number;
  readonly engines: readonly EngineCount[];
}

/** Exchanges heartbeats with the other daemons, one fiber for each peer. */
export class MemberService {
  private state = MemberState.LIVE;
  private sequence = 0;
  private lastTickMs = 0;

  constructor(
    private readonly settings: DaemonSettings,
    private readonly incarnation: number,
    private readonly table: MemberTable,
    private readonly hosts: HostFollower,
    private readonly peers: PeerClient,
    private readonly heartbeatMs: number,
    private readonly reportSelf: () => SelfReport,
  ) {}

  /** Announces from now on that this daemon takes no new callers. */
  setLeaving(): void {
    this.state = MemberState.LEAVING;
  }

  /** Gets what this daemon says of itself. */
  getSelf(): Member {
    const {id, region, availabilityZone} = this.settings;
    return {
      id,
      state: this.state,
      region,
      availabilityZone,
      callerAddress: this.settings.callerListener,
      controlAddress: this.settings.controlListener,
      incarnation: this.incarnation,
      sequence: this.sequence,
      ...this.reportSelf(),
    };
  }

  /** Lists the daemons that take callers, this one included unless leaving. */
  listLive(nowMs: number): Member[] {
    const others = this.table.listLive(nowMs);
    return this.state === MemberState.LIVE
      ? [this.getSelf(), ...others]
      : others;
  }

  /** Counts the daemons that take callers, at least one. */
  countLive(): number {
    return Math.max(1, this.listLive(this.lastTickMs).length);
  }

  /** Answers a heartbeat with this daemon's own news. */
  answerHeartbeat(heartbeat: Heartbeat): Effect.Effect<Heartbeat> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      for (const member of heartbeat.members) this.table.observe(member, nowMs);
      this.sequence += 1;
      return {members: [this.getSelf()]};
    });
  }

  /** Starts and ends the fibers of peers as the host list shows them. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      const fibers = yield* FiberMap.make<string, never, never>();
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        this.lastTickMs = nowMs;
        this.table.removeForgotten(nowMs);
        for (const [id, address] of this.listPeerAddresses()) {
          yield* FiberMap.run(fibers, id, this.runPeer(id, address), {
            onlyIfMissing: true,
          });
        }
        yield* Effect.sleep(this.heartbeatMs);
      }
    });
  }

  private listPeerAddresses(): Map<string, Address> {
    const addresses = new Map<string, Address>();
    for (const host of this.hosts.listEntryHosts()) {
      addresses.set(host.id, {host: host.host, port: host.controlPort});
    }
    for (const member of this.table.listKnown()) {
      addresses.set(member.id, member.controlAddress);
    }
    addresses.delete(this.settings.id);
    return addresses;
  }

  /** Sends heartbeats to one peer until it is forgotten. */
  private runPeer(id: string, address: Address): Effect.Effect<never> {
    let isAnswering = false;
    const logChange = (answered: boolean): void => {
      if (answered === isAnswering) return;
      isAnswering = answered;
      logger.log(answered ? 'A peer answers.' : 'A peer is silent.', {id});
    };
    const beat = this.sendHeartbeat(address).pipe(
      Effect.map(() => logChange(true)),
      Effect.catch(() => Effect.sync(() => logChange(false))),
    );
    return Effect.forever(Effect.andThen(beat, Effect.sleep(this.heartbeatMs)));
  }

  private sendHeartbeat(address: Address) {
    return Effect.gen({self: this}, function* () {
      this.sequence += 1;
      const heartbeat = {members: [this.getSelf()]};
      const answer = yield* this.peers.send(
        address,
        PeerMethod.HEARTBEAT,
        heartbeat,
        HeartbeatSchema,
      );
      const nowMs = yield* Clock.currentTimeMillis;
      for (const member of answer.members) this.table.observe(member, nowMs);
    });
  }
}
