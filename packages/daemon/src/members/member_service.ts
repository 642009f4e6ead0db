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
import type {Heartbeat, PeerRpc, Probe} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';
import {ContactList} from './contact_list.js';
import {HeartbeatExchange} from './heartbeat_exchange.js';
import {NeighbourWatches} from './neighbour_watches.js';
import {ProcessDelayMonitor} from './process_delay_monitor.js';
import {SelfRecord, type SelfReport} from './self_record.js';

/** Base timeout for a reply, as a fraction of the heartbeat interval. */
const REPLY_TIMEOUT_SHARE = 0.4;
/** Timeout for a contact that is not reachable yet, in heartbeat intervals. */
const CONTACT_TIMEOUT_HEARTBEATS = 2;
/** Retries of each heartbeat sent by {@link MemberService.reportToPeers}. */
const ANNOUNCE_RETRIES = 3;
/** The fiber of `run` counts as stopped after this many missed ticks. */
const MAX_MISSED_TICKS = 20;
/** The choice of neighbours is checked this often per heartbeat interval. */
const UPDATES_PER_HEARTBEAT = 4;
const logger = new Logger('members');

/** Tracks the fleet's members by heartbeats with a few of them. */
export class MemberService {
  private readonly self: SelfRecord;
  private readonly exchange: HeartbeatExchange;
  private readonly contacts: ContactList;
  private readonly watches: NeighbourWatches;
  private readonly delayMonitor = new ProcessDelayMonitor();
  /**
   * When the last tick ran, in ms since the epoch; 0 before the first. A tick
   * removes expired members and tries contacts, once per heartbeat interval.
   */
  private lastTickMs = 0;

  /**
   * @param incarnation start value: when this process started, in epoch ms
   * @param heartbeatMs heartbeat interval in a fleet of up to 5 daemons, in ms
   * @param reportSelf returns the part of this daemon's record that varies
   */
  constructor(
    settings: DaemonSettings,
    incarnation: number,
    private readonly table: MemberTable,
    hosts: HostFollower,
    peers: PeerRpc,
    private readonly heartbeatMs: number,
    reportSelf: () => SelfReport,
    policy: NeighbourPolicy,
  ) {
    const random = new SeededRandom(hash32(`${settings.id} ${incarnation}`));
    this.self = new SelfRecord(settings, incarnation, reportSelf);
    const timeout = new ReplyTimeout(heartbeatMs * REPLY_TIMEOUT_SHARE);
    this.exchange = new HeartbeatExchange(
      this.self,
      table,
      hosts,
      peers,
      timeout,
    );
    const sources = {
      listHostAddresses: () =>
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
      this.delayMonitor,
      timeout,
    );
  }

  /** Advertises that this daemon accepts callers, unless it is leaving. */
  setLive(): void {
    if (this.self.getState() !== MemberState.JOINING) return;
    this.self.setState(MemberState.LIVE);
    this.exchange.wakeNeighbourFibers();
  }

  /** Advertises that callers should no longer be sent to this daemon. */
  setLeaving(): void {
    this.self.setState(MemberState.LEAVING);
    this.exchange.wakeNeighbourFibers();
  }

  /** Returns the state that this daemon advertises. */
  getState(): MemberState {
    return this.self.getState();
  }

  /** Returns the record that this daemon advertises about itself. */
  getSelf(): Member {
    return this.self.getMember();
  }

  /** Returns the highest configuration revision reported so far; 0 if none. */
  getHighestRevision(): number {
    return this.exchange.getHighestRevision();
  }

  /** Waits until this or another daemon reports a higher revision. */
  waitNewerRevision(revision: number): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      while (this.getHighestRevision() <= revision) {
        yield* this.exchange.wakeLatch.await;
      }
    });
  }

  /** Returns whether the fiber started by `run` still makes progress. */
  isRunning(nowMs: number): boolean {
    return nowMs - this.lastTickMs < MAX_MISSED_TICKS * this.heartbeatMs;
  }

  /** Lists the live daemons; includes this daemon if it is live. */
  listLive(nowMs: number): Member[] {
    const others = this.table.listLive(nowMs);
    return this.getState() === MemberState.LIVE
      ? [this.getSelf(), ...others]
      : others;
  }

  /** Lists the other reachable daemons, joining and leaving ones included. */
  listReachable(): Member[] {
    return this.table.listReachable();
  }

  /** Lists all other daemons in the table, suspects included. */
  listAllOthers(): Member[] {
    return this.table.listAll();
  }

  /** Counts the live daemons as of the last tick; returns at least 1. */
  countLive(): number {
    return Math.max(1, this.listLive(this.lastTickMs).length);
  }

  /** Counts this daemon and all others in the table, suspects included. */
  countAll(): number {
    return 1 + this.listAllOthers().length;
  }

  /** Merges a heartbeat and returns the reply. */
  answerHeartbeat(heartbeat: Heartbeat): Effect.Effect<Heartbeat> {
    return this.exchange.answer(heartbeat);
  }

  /** Tries to reach a daemon on behalf of a peer that cannot reach it. */
  answerProbe(probe: Probe): Effect.Effect<{reached: boolean}> {
    return this.exchange.send(probe.controlAddress, probe.id).pipe(
      Effect.map(replierId => ({reached: replierId === probe.id})),
      Effect.catch(() => Effect.succeed({reached: false})),
    );
  }

  /**
   * Sends this daemon's state to all neighbours at once, each with retries;
   * without neighbours, to other contacts.
   */
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

  /** Runs the fibers for neighbours and contacts, and ticks; never returns. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      yield* Effect.forkScoped(this.delayMonitor.run());
      const contactFibers = yield* FiberMap.make<string, void>();
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const isTickDue = nowMs - this.lastTickMs >= this.heartbeatMs;
        if (isTickDue) {
          this.lastTickMs = nowMs;
          this.removeExpired(nowMs);
          yield* this.tryContacts(contactFibers);
        }
        this.exchange.observeOwnRevision();
        yield* this.watches.update();
        yield* Effect.raceFirst(
          Effect.sleep(this.heartbeatMs / UPDATES_PER_HEARTBEAT),
          this.exchange.wakeLatch.await,
        );
      }
    });
  }

  private removeExpired(nowMs: number): void {
    const removed = this.table.removeExpired(nowMs);
    for (const member of removed) this.contacts.addRemoved(member);
    this.exchange.removePeers(removed);
  }

  private tryContacts(
    contactFibers: FiberMap.FiberMap<string, void>,
  ): Effect.Effect<void> {
    return Effect.forEach(
      this.chooseContacts(),
      address =>
        FiberMap.run(
          contactFibers,
          formatAddress(address),
          this.tryContact(address),
          {onlyIfMissing: true},
        ),
      {discard: true},
    );
  }

  private tryContact(address: Address): Effect.Effect<void> {
    const timeoutMs = CONTACT_TIMEOUT_HEARTBEATS * this.heartbeatMs;
    const peer = this.findIdAt(address);
    return this.exchange.send(address, peer, timeoutMs).pipe(
      Effect.map(id =>
        logger.log('A daemon that was not reachable replied.', {id}),
      ),
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
