import type {Member, MemberStatus} from '@greengagecross/common';
import {makeStateKey, toStatus} from './member_order.js';
import type {MemberTable} from './member_table.js';

const MAX_MEMBERS_PER_MESSAGE = 20;
const DIGEST_AFTER_MS = 2000;
const UNKNOWN = '';

/**
 * What one daemon knows that a neighbour knows of the members: all changes up
 * to a version of its own table, and the exceptions from that.
 */
export class LinkKnowledge {
  private toldVersion = 0;
  private readonly exceptions = new Map<string, string>();
  private readonly sequences = new Map<string, number>();
  private ownKey = UNKNOWN;
  private incarnation = 0;
  private mismatchSinceMs: number | undefined;
  /** Whether the next message should say what is known, in short. */
  private isDigestDue = true;
  /** Version of the host news that the neighbour has. */
  hostVersion = 0;
  /** Highest revision of the configuration that it told or was told. */
  revision = 0;

  constructor(private readonly table: MemberTable) {
    this.toldVersion = table.getVersion();
  }

  /** Forgets everything when the neighbour was started again. */
  observeIncarnation(incarnation: number): void {
    if (this.incarnation === incarnation) return;
    this.incarnation = incarnation;
    this.toldVersion = this.table.getVersion();
    this.exceptions.clear();
    this.sequences.clear();
    this.ownKey = UNKNOWN;
    this.mismatchSinceMs = undefined;
    this.isDigestDue = true;
    this.hostVersion = 0;
    this.revision = 0;
  }

  /** Tells whether the neighbour should be sent a digest. */
  isDigestNeeded(): boolean {
    return this.isDigestDue;
  }

  /** Chooses the members whose state the neighbour does not know. */
  chooseMembers(own: Member): Member[] {
    const news = this.listNews();
    if (news.length <= MAX_MEMBERS_PER_MESSAGE) this.updateTold(news);
    const isOwnNews = this.ownKey !== makeStateKey(own);
    const chosen = isOwnNews ? [own, ...news] : news;
    return chosen.slice(0, MAX_MEMBERS_PER_MESSAGE);
  }

  /** Chooses the statuses that are furthest ahead of what it knows. */
  chooseStatuses(members: readonly Member[], limit: number): MemberStatus[] {
    if (limit === 0) return [];
    return members
      .map(member => ({member, lag: this.computeLag(member)}))
      .filter(({lag}) => lag > 0)
      .sort((a, b) => b.lag - a.lag)
      .slice(0, limit)
      .map(({member}) => toStatus(member));
  }

  /** Records what the neighbour told of itself and others. */
  recordHeard(
    members: readonly Member[],
    statuses: readonly MemberStatus[],
  ): void {
    for (const member of members) {
      this.exceptions.set(member.id, makeStateKey(member));
      this.recordStatus(member);
    }
    for (const status of statuses) this.recordStatus(status);
  }

  /** Records what the neighbour has been told. */
  recordTold(
    own: Member,
    members: readonly Member[],
    statuses: readonly MemberStatus[],
    isDigest: boolean,
  ): void {
    this.recordHeard(members, statuses);
    const told = members.find(member => member.id === own.id);
    if (told !== undefined) this.ownKey = makeStateKey(told);
    if (isDigest) this.isDigestDue = false;
  }

  /** Records whether the neighbour's table equals the own one. */
  recordMatch(isEqual: boolean, own: Member, nowMs: number): void {
    if (isEqual) {
      this.mismatchSinceMs = undefined;
      this.isDigestDue = false;
      this.toldVersion = this.table.getVersion();
      this.exceptions.clear();
      this.ownKey = makeStateKey(own);
      return;
    }
    this.mismatchSinceMs ??= nowMs;
    if (nowMs - this.mismatchSinceMs <= DIGEST_AFTER_MS) return;
    // Some news was lost on the way; digests show where.
    this.mismatchSinceMs = undefined;
    this.isDigestDue = true;
  }

  /** Records that the neighbour may not know these members. */
  recordDiffering(members: readonly Member[], own: Member): void {
    for (const {id} of members) {
      if (id === own.id) this.ownKey = UNKNOWN;
      else this.exceptions.set(id, UNKNOWN);
    }
  }

  private listNews(): Member[] {
    const changed = this.table.listChanged(this.toldVersion);
    const ids = new Set(changed.map(member => member.id));
    for (const id of this.exceptions.keys()) {
      if (ids.has(id)) continue;
      const member = this.table.find(id);
      if (member !== undefined) changed.push(member);
    }
    return changed.filter(
      member => this.exceptions.get(member.id) !== makeStateKey(member),
    );
  }

  /** Keeps as exceptions only what the neighbour does not know so far. */
  private updateTold(news: readonly Member[]): void {
    this.toldVersion = this.table.getVersion();
    const differing = new Map(
      news.map(({id}) => [id, this.exceptions.get(id) ?? UNKNOWN]),
    );
    this.exceptions.clear();
    for (const [id, key] of differing) this.exceptions.set(id, key);
  }

  private recordStatus({id, sequence}: MemberStatus): void {
    this.sequences.set(id, sequence);
  }

  private computeLag({id, sequence}: Member): number {
    return sequence - (this.sequences.get(id) ?? 0);
  }
}
