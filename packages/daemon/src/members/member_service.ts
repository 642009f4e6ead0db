import {Clock, Effect, FiberMap, type Scope} from 'effect';
import {
  formatAddress,
  hash32,
  Logger,
  MemberState,
  SeededRandom,
  type Address,
  type DaemonSettings,
  type Member,
} from '@greengagecross/common';
import {
  ReplyTimeout,
  type MemberTable,
  type NeighbourPolicy,
} from '@greengagecross/decisions';
import type {Heartbeat, PeerCaller, Probe} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';
import {ContactList} from './contact_list.js';
import {HeartbeatExchange} from './heartbeat_exchange.js';
import {NeighbourWatches} from './neighbour_watches.js';
import {OwnDelay} from './own_delay.js';
import {SelfRecord, type SelfReport} from './self_record.js';

/** Share of a heartbeat for which its reply is awaited. */
const REPLY_SHARE = 0.4;
/** Heartbeats for which the reply of an unknown daemon is awaited. */
const CONTACT_HEARTBEATS = 2;
const ANNOUNCE_RETRIES = 3;
const MAX_MISSED_TICKS = 20;
const TICKS_PER_HEARTBEAT = 4;
const logger = new Logger('members');

/** Knows which daemons are there, by heartbeats with a few of them. */
export class MemberService {
  private readonly self: SelfRecord;
  private readonly exchange: HeartbeatExchange;
  private readonly contacts: ContactList;
  private readonly watches: NeighbourWatches;
  private readonly ownDelay = new OwnDelay();
  private lastTickMs = 0;

  constructor(
    settings: DaemonSettings,
    incarnation: number,
    private readonly table: MemberTable,
    hosts: HostFollower,
    peers: PeerCaller,
    private readonly heartbeatMs: number,
    reportSelf: () => SelfReport,
    policy: NeighbourPolicy,
  ) {
    const random = new SeededRandom(hash32(`${settings.id} ${incarnation}`));
    this.self = new SelfRecord(settings, incarnation, reportSelf);
    const timeout = new ReplyTimeout(heartbeatMs * REPLY_SHARE);
    this.exchange = new HeartbeatExchange(
      this.self,
      table,
      hosts,
      peers,
      timeout,
    );
    const sources = {
      listHosts: () =>
        hosts
          .listEntryHosts()
          .map(({host, controlPort}) => ({host, port: controlPort})),
      seeds: settings.seeds ?? [],
    };
    this.contacts = new ContactList(sources, settings.controlListener, random);
    this.watches = new NeighbourWatches(
      settings.id,
      table,
      this.exchange,
      peers,
      heartbeatMs,
      policy,
      random,
      this.ownDelay,
      timeout,
    );
  }

  /** Announces from now on that this daemon takes callers. */
  setLive(): void {
    if (this.self.getState() !== MemberState.JOINING) return;
    this.self.setState(MemberState.LIVE);
    this.exchange.wake();
  }

  /** Announces from now on that this daemon takes no new callers. */
  setLeaving(): void {
    this.self.setState(MemberState.LEAVING);
    this.exchange.wake();
  }

  /** Gets whether this daemon takes callers. */
  getState(): MemberState {
    return this.self.getState();
  }

  /** Gets what this daemon says of itself. */
  getSelf(): Member {
    return this.self.getMember();
  }

  /** Gets the highest revision of the configuration that any member told. */
  getHighestRevision(): number {
    return this.exchange.getHighestRevision();
  }

  /** Waits until a member tells of a revision above this one. */
  waitNewerRevision(revision: number): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      while (this.getHighestRevision() <= revision) {
        yield* this.exchange.news.await;
      }
    });
  }

  /** Tells whether the fiber that watches the peers still runs. */
  isTicking(nowMs: number): boolean {
    return nowMs - this.lastTickMs < MAX_MISSED_TICKS * this.heartbeatMs;
  }

  /** Lists the daemons that take callers, this one included unless leaving. */
  listLive(nowMs: number): Member[] {
    const others = this.table.listLive(nowMs);
    return this.getState() === MemberState.LIVE
      ? [this.getSelf(), ...others]
      : others;
  }

  /** Lists the other daemons that are there, leaving ones included. */
  listOthers(): Member[] {
    return this.table.listReachable();
  }

  /** Lists the other daemons it remembers, suspected and just lost ones too. */
  listRemembered(): Member[] {
    return this.table.listAll();
  }

  /** Counts the daemons that take callers, at least one. */
  countLive(): number {
    return Math.max(1, this.listLive(this.lastTickMs).length);
  }

  /** Counts this daemon and all it remembers, those just lost included. */
  countRemembered(): number {
    return 1 + this.listRemembered().length;
  }

  /** Answers a heartbeat with this daemon's own news. */
  answerHeartbeat(heartbeat: Heartbeat): Effect.Effect<Heartbeat> {
    return this.exchange.answer(heartbeat);
  }

  /** Tries a daemon on behalf of one that does not reach it. */
  answerProbe(probe: Probe): Effect.Effect<{reached: boolean}> {
    return this.exchange.send(probe.controlAddress, probe.id).pipe(
      Effect.map(answerer => ({reached: answerer === probe.id})),
      Effect.catch(() => Effect.succeed({reached: false})),
    );
  }

  /** Sends this daemon's state to its neighbours at once; none may miss it. */
  reportToPeers(): Effect.Effect<void> {
    const addresses = this.watches
      .listNeighbours(this.lastTickMs)
      .map(member => member.controlAddress);
    const contacts = addresses.length > 0 ? [] : this.chooseContacts();
    return Effect.forEach(
      [...addresses, ...contacts],
      address =>
        this.exchange
          .send(address, undefined)
          .pipe(Effect.retry({times: ANNOUNCE_RETRIES}), Effect.ignore),
      {concurrency: 'unbounded', discard: true},
    );
  }

  /** Starts and ends the fibers of neighbours as members come and go. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      yield* Effect.forkScoped(this.ownDelay.run());
      const tries = yield* FiberMap.make<string, void>();
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const isTick = nowMs - this.lastTickMs >= this.heartbeatMs;
        if (isTick) {
          this.lastTickMs = nowMs;
          this.removeForgotten(nowMs);
          yield* this.tryContacts(tries);
        }
        this.exchange.observeOwnRevision();
        yield* this.watches.update();
        yield* Effect.raceFirst(
          Effect.sleep(this.heartbeatMs / TICKS_PER_HEARTBEAT),
          this.exchange.news.await,
        );
      }
    });
  }

  private removeForgotten(nowMs: number): void {
    const forgotten = this.table.removeExpired(nowMs);
    for (const member of forgotten) this.contacts.add(member);
    this.exchange.removeForgotten(forgotten);
  }

  private tryContacts(
    tries: FiberMap.FiberMap<string, void>,
  ): Effect.Effect<void> {
    return Effect.forEach(
      this.chooseContacts(),
      address =>
        FiberMap.run(tries, formatAddress(address), this.tryContact(address), {
          onlyIfMissing: true,
        }),
      {discard: true},
    );
  }

  private tryContact(address: Address): Effect.Effect<void> {
    const timeoutMs = CONTACT_HEARTBEATS * this.heartbeatMs;
    const peer = this.findIdAt(address);
    return this.exchange.send(address, peer, timeoutMs).pipe(
      Effect.map(id => logger.log('A peer answers.', {id})),
      Effect.ignore,
    );
  }

  private chooseContacts(): Address[] {
    const suspects = this.table
      .listAll()
      .filter(({state}) => state === MemberState.SUSPECT);
    return this.contacts.choose(this.table.listReachable(), suspects);
  }

  private findIdAt(address: Address): string | undefined {
    const text = formatAddress(address);
    return this.table
      .listAll()
      .find(member => formatAddress(member.controlAddress) === text)?.id;
  }
}
