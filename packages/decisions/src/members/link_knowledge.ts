import type {Member, MemberStatus} from '@greengagecross/common';
import {makeStateKey, toStatus} from './member_order.js';

const MAX_MEMBERS_PER_MESSAGE = 20;
const RESEND_AFTER_MS = 5000;

/** What one daemon knows that a neighbour knows of the members. */
export class LinkKnowledge {
  private readonly states = new Map<string, string>();
  private readonly sequences = new Map<string, number>();
  private incarnation = 0;
  private mismatchSinceMs: number | undefined;
  /** Version of the host news that the neighbour has. */
  hostVersion = 0;
  /** Highest revision of the configuration that it told or was told. */
  revision = 0;

  /** Forgets everything when the neighbour was started again. */
  observeIncarnation(incarnation: number): void {
    if (this.incarnation === incarnation) return;
    this.incarnation = incarnation;
    this.removeAll();
  }

  /** Chooses the members whose state the neighbour does not know. */
  chooseMembers(members: readonly Member[]): Member[] {
    const unknown = members.filter(member => !this.isKnown(member));
    return unknown.slice(0, MAX_MEMBERS_PER_MESSAGE);
  }

  /** Chooses the statuses that are furthest ahead of what it knows. */
  chooseStatuses(members: readonly Member[], limit: number): MemberStatus[] {
    if (limit === 0) return [];
    return members
      .filter(member => this.isKnown(member))
      .map(member => ({member, lag: this.computeLag(member)}))
      .filter(({lag}) => lag > 0)
      .sort((a, b) => b.lag - a.lag)
      .slice(0, limit)
      .map(({member}) => toStatus(member));
  }

  /** Records what the neighbour told, or has been told. */
  record(members: readonly Member[], statuses: readonly MemberStatus[]): void {
    for (const member of members) {
      this.states.set(member.id, makeStateKey(member));
      this.recordStatus(member);
    }
    for (const status of statuses) this.recordStatus(status);
  }

  /** Records that the neighbour knows all of these states, or that it may not. */
  recordMatch(
    isEqual: boolean,
    members: readonly Member[],
    nowMs: number,
  ): void {
    if (isEqual) {
      this.mismatchSinceMs = undefined;
      for (const member of members) {
        this.states.set(member.id, makeStateKey(member));
      }
      return;
    }
    this.mismatchSinceMs ??= nowMs;
    // Some news was lost on the way; all of it is sent again.
    if (nowMs - this.mismatchSinceMs > RESEND_AFTER_MS) this.removeAll();
  }

  private recordStatus({id, sequence}: MemberStatus): void {
    this.sequences.set(id, sequence);
  }

  private isKnown(member: Member): boolean {
    return this.states.get(member.id) === makeStateKey(member);
  }

  private computeLag({id, sequence}: Member): number {
    return sequence - (this.sequences.get(id) ?? 0);
  }

  private removeAll(): void {
    this.states.clear();
    this.sequences.clear();
    this.mismatchSinceMs = undefined;
    this.hostVersion = 0;
    this.revision = 0;
  }
}
