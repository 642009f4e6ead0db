import {Clock, Effect, Latch} from 'effect';
import {MemberState, type Address, type Member} from '@greengagecross/common';
import {
  computeRelayedStatuses,
  PeerSyncState,
  type MemberTable,
  type ReplyTimeout,
} from '@greengagecross/decisions';
import {
  HeartbeatSchema,
  PeerMethod,
  type Heartbeat,
  type PeerCaller,
  type PeerError,
} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';
import type {SelfRecord} from './self_record.js';

/** Makes heartbeats for each peer from what it does not know yet. */
export class HeartbeatExchange {
  /** Releases those that wait for news. */
  readonly news = Latch.makeUnsafe(false);
  private readonly links = new Map<string, PeerSyncState>();
  private highestRevision = 0;

  constructor(
    private readonly self: SelfRecord,
    private readonly table: MemberTable,
    private readonly hosts: HostFollower,
    private readonly peers: PeerCaller,
    private readonly timeout: ReplyTimeout,
  ) {}

  /** Gets the highest revision of the configuration that any member told. */
  getHighestRevision(): number {
    return this.highestRevision;
  }

  /** Tells the neighbours when this daemon itself runs a newer revision. */
  observeOwnRevision(): void {
    const {configurationRevision} = this.self.getMember();
    if (this.updateRevision(configurationRevision)) this.wake();
  }

  /** Wakes the fibers of all neighbours, which send what is new to theirs. */
  wake(): void {
    this.news.openUnsafe();
    this.news.closeUnsafe();
  }

  /** Tells whether there is news that a peer does not know. */
  hasNews(peer: string): boolean {
    const link = this.getLink(peer);
    return (
      link.chooseMembers(this.self.getMember()).length > 0 ||
      link.revision < this.highestRevision ||
      link.leavingHostsVersion < this.hosts.getNews().version
    );
  }

  /** Sends a heartbeat and takes in its answer; gives the answerer's id. */
  send(
    address: Address,
    peer: string | undefined,
    timeoutMs?: number,
  ): Effect.Effect<string, PeerError> {
    return Effect.gen({self: this}, function* () {
      const sent = this.make(peer);
      const startMs = yield* Clock.currentTimeMillis;
      const answer = yield* this.peers.send(
        address,
        PeerMethod.HEARTBEAT,
        sent,
        HeartbeatSchema,
        timeoutMs ?? this.timeout.computeMs(startMs),
      );
      const endMs = yield* Clock.currentTimeMillis;
      this.timeout.recordReply(endMs - startMs, endMs);
      this.recordTold(answer.from, sent);
      yield* this.receive(answer);
      return answer.from;
    });
  }

  /** Takes in a heartbeat and makes the answer to it. */
  answer(heartbeat: Heartbeat): Effect.Effect<Heartbeat> {
    return Effect.map(this.receive(heartbeat), () => {
      const isDigestAsked = heartbeat.digest !== undefined;
      const answer = this.make(heartbeat.from, isDigestAsked);
      // A lost answer shows in the hashes of the heartbeats after it.
      this.recordTold(heartbeat.from, answer);
      return answer;
    });
  }

  /** Removes what is known of peers that are no longer remembered. */
  removeForgotten(forgotten: readonly Member[]): void {
    for (const {id} of forgotten) this.links.delete(id);
  }

  private make(peer: string | undefined, isDigestAsked = false): Heartbeat {
    const own = this.self.getMember();
    const {id, incarnation} = own;
    const link =
      peer === undefined ? new PeerSyncState(this.table) : this.getLink(peer);
    const news = link.chooseMembers(own);
    // A suspect may be gone; if not, it first has to refute that.
    const isSuspect = peer !== undefined && this.table.isSuspect(peer);
    const members = isSuspect
      ? news.filter(member => member === own || member.id === peer)
      : news;
    const others = this.table.listAll().filter(({id}) => id !== peer);
    const isOwnTold = members.includes(own);
    const statuses = [
      ...link.chooseStatuses(isOwnTold ? [] : [own], 1),
      ...link.chooseStatuses(others, computeRelayedStatuses(others.length)),
    ];
    this.updateRevision(own.configurationRevision);
    const hosts = this.hosts.getNews();
    const hasDigest = isDigestAsked || link.isDigestNeeded();
    return {
      from: id,
      incarnation,
      members,
      statuses,
      tableHash: this.table.computeHash(own),
      ...(hasDigest ? {digest: this.table.computeDigest(own)} : {}),
      highestRevision: this.highestRevision,
      ...(hosts.version > link.leavingHostsVersion ? {hosts} : {}),
    };
  }

  private receive(heartbeat: Heartbeat): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const {from, incarnation, members, statuses} = heartbeat;
      const link = this.getLink(from);
      link.observeIncarnation(incarnation);
      const own = this.self.getMember();
      // Who was cut off does not know who else was.
      const isTrusted = !this.table.isSuspect(from);
      const changes = members
        .filter(
          ({id, state}) =>
            isTrusted || id === own.id || state !== MemberState.SUSPECT,
        )
        .map(member => this.observe(member, nowMs));
      for (const status of statuses) this.table.mergeStatus(status);
      this.table.recordLastSeen(from, nowMs);
      this.observeHash(heartbeat, link, nowMs);
      link.recordReceived(members, statuses);
      link.revision = heartbeat.highestRevision;
      const isNewerRevision = this.updateRevision(heartbeat.highestRevision);
      const isHostNews = this.observeHosts(heartbeat, link);
      const isNews = changes.includes(true) || isNewerRevision || isHostNews;
      if (isNews) this.wake();
    });
  }

  private observe(member: Member, nowMs: number): boolean {
    if (member.id !== this.self.getMember().id) {
      return this.table.merge(member, nowMs);
    }
    const isRefuted = this.self.observe(member);
    if (isRefuted) this.table.removeOwnSuspicions();
    return isRefuted;
  }

  private observeHosts({hosts}: Heartbeat, link: PeerSyncState): boolean {
    if (hosts === undefined) return false;
    link.leavingHostsVersion = hosts.version;
    return this.hosts.observeNews(hosts);
  }

  private observeHash(
    {tableHash, digest}: Heartbeat,
    link: PeerSyncState,
    nowMs: number,
  ): void {
    const own = this.self.getMember();
    const isEqual = tableHash === this.table.computeHash(own);
    link.recordTableMatch(isEqual, own, nowMs);
    if (isEqual || digest === undefined) return;
    link.recordDiffering(this.table.listDiffering(own, digest), own);
  }

  private updateRevision(revision: number): boolean {
    if (revision <= this.highestRevision) return false;
    this.highestRevision = revision;
    return true;
  }

  private recordTold(peer: string, told: Heartbeat): void {
    const link = this.getLink(peer);
    const {members, statuses, digest} = told;
    const own = this.self.getMember();
    link.recordSent(own, members, statuses, digest !== undefined);
    link.revision = Math.max(link.revision, told.highestRevision);
    link.leavingHostsVersion = Math.max(
      link.leavingHostsVersion,
      told.hosts?.version ?? 0,
    );
  }

  private getLink(peer: string): PeerSyncState {
    const known = this.links.get(peer);
    if (known !== undefined) return known;
    const link = new PeerSyncState(this.table);
    this.links.set(peer, link);
    return link;
  }
}
