import {Clock, Effect, Latch} from 'effect';
import {MemberState, type Address, type Member} from '@greengagecross/common';
import {LinkKnowledge, type MemberTable} from '@greengagecross/decisions';
import {
  HeartbeatSchema,
  PeerMethod,
  type Heartbeat,
  type PeerCaller,
  type PeerError,
} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';
import type {SelfRecord} from './self_record.js';

/** Statuses of others that go with one heartbeat where not all are neighbours. */
const MAX_RELAYED_STATUSES = 2;
const SMALL_FLEET = 4;

/** Makes heartbeats for each peer from what it does not know yet. */
export class HeartbeatExchange {
  /** Releases those that wait for news. */
  readonly news = Latch.makeUnsafe(false);
  private readonly links = new Map<string, LinkKnowledge>();
  private highestRevision = 0;

  constructor(
    private readonly self: SelfRecord,
    private readonly table: MemberTable,
    private readonly hosts: HostFollower,
    private readonly peers: PeerCaller,
  ) {}

  /** Gets the highest revision of the configuration that any member told. */
  getHighestRevision(): number {
    return this.highestRevision;
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
      link.chooseMembers(this.listMembers()).length > 0 ||
      link.revision < this.highestRevision ||
      link.hostVersion < this.hosts.getNews().version
    );
  }

  /** Sends a heartbeat and takes in its answer; gives the answerer's id. */
  send(
    address: Address,
    peer: string | undefined,
  ): Effect.Effect<string, PeerError> {
    return Effect.gen({self: this}, function* () {
      const sent = this.make(peer);
      const answer = yield* this.peers.send(
        address,
        PeerMethod.HEARTBEAT,
        sent,
        HeartbeatSchema,
      );
      this.recordTold(answer.from, sent);
      yield* this.receive(answer);
      return answer.from;
    });
  }

  /** Takes in a heartbeat and makes the answer to it. */
  answer(heartbeat: Heartbeat): Effect.Effect<Heartbeat> {
    return Effect.map(this.receive(heartbeat), () => {
      const answer = this.make(heartbeat.from);
      // A lost answer shows in the hashes of the heartbeats after it.
      this.recordTold(heartbeat.from, answer);
      return answer;
    });
  }

  /** Removes what is known of peers that are no longer remembered. */
  removeForgotten(forgotten: readonly Member[]): void {
    for (const {id} of forgotten) this.links.delete(id);
  }

  private make(peer: string | undefined): Heartbeat {
    const own = this.self.getMember();
    const {id, incarnation} = own;
    const link = peer === undefined ? new LinkKnowledge() : this.getLink(peer);
    const others = this.table.listKnown();
    const members = link.chooseMembers([own, ...others]);
    const relayed = others.filter(member => member.id !== peer);
    const limit = others.length <= SMALL_FLEET ? 0 : MAX_RELAYED_STATUSES;
    const statuses = [
      ...link.chooseStatuses([own], 1),
      ...link.chooseStatuses(relayed, limit),
    ];
    this.updateRevision(own.configurationRevision);
    const hosts = this.hosts.getNews();
    return {
      from: id,
      incarnation,
      members,
      statuses,
      tableHash: this.table.computeHash(own),
      highestRevision: this.highestRevision,
      ...(hosts.version > link.hostVersion ? {hosts} : {}),
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
      for (const status of statuses) this.table.observeStatus(status);
      this.table.recordHeard(from, nowMs);
      link.record(members, statuses);
      const isEqual = heartbeat.tableHash === this.computeHash();
      link.recordMatch(isEqual, this.listMembers(), nowMs);
      link.revision = heartbeat.highestRevision;
      const isNewerRevision = this.updateRevision(heartbeat.highestRevision);
      const isHostNews = this.observeHosts(heartbeat, link);
      const isNews = changes.includes(true) || isNewerRevision || isHostNews;
      if (isNews) this.wake();
    });
  }

  private observe(member: Member, nowMs: number): boolean {
    if (member.id !== this.self.getMember().id) {
      return this.table.observe(member, nowMs);
    }
    const isRefuted = this.self.observe(member);
    if (isRefuted) this.table.removeOwnSuspicions();
    return isRefuted;
  }

  private observeHosts({hosts}: Heartbeat, link: LinkKnowledge): boolean {
    if (hosts === undefined) return false;
    link.hostVersion = hosts.version;
    return this.hosts.observeNews(hosts);
  }

  private computeHash(): number {
    return this.table.computeHash(this.self.getMember());
  }

  private updateRevision(revision: number): boolean {
    if (revision <= this.highestRevision) return false;
    this.highestRevision = revision;
    return true;
  }

  private recordTold(peer: string, told: Heartbeat): void {
    const link = this.getLink(peer);
    link.record(told.members, told.statuses);
    link.revision = Math.max(link.revision, told.highestRevision);
    link.hostVersion = Math.max(link.hostVersion, told.hosts?.version ?? 0);
  }

  private listMembers(): Member[] {
    return [this.self.getMember(), ...this.table.listKnown()];
  }

  private getLink(peer: string): LinkKnowledge {
    const known = this.links.get(peer);
    if (known !== undefined) return known;
    const link = new LinkKnowledge();
    this.links.set(peer, link);
    return link;
  }
}
