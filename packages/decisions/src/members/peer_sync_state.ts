import type {Member, MemberStatus} from '@greengagecross/common';
import {makeStateKey, toStatus} from './member_order.js';
import type {MemberTable} from './member_table.js';

const MAX_MEMBERS_PER_MESSAGE = 20;
/** A digest is sent once the tables have differed for longer than this. */
const DIGEST_AFTER_MS = 2000;
/** Differs from every state key, so that the member is sent. */
const UNKNOWN_STATE_KEY = '';

/**
 * Tracks which member states a peer (another daemon) holds, so that only states
 * that it lacks are sent. The peer holds all changes of the local table up to
 * `advertisedVersion`, except those in `exceptions`.
 */
export class PeerSyncState {
  /**
   * Version of the local table that the peer is assumed to hold. At the start,
   * and after a restart of the peer, that is the current version: the first
   * digest shows what the peer lacks.
   */
  private advertisedVersion = 0;
  /**
   * By member id, the state key that the peer last held; the states of these
   * members may differ from `advertisedVersion`.
   */
  private readonly exceptions = new Map<string, string>();
  /** Sequence of the latest status that the peer holds, by member id. */
  private readonly statusSequences = new Map<string, number>();
  /** Key of this daemon's state that the peer holds. */
  private ownStateKey = UNKNOWN_STATE_KEY;
  private incarnation = 0;
  /**
   * When the tables began to differ, in milliseconds since the epoch; undefined
   * while the tables are equal or a digest is due.
   */
  private mismatchSinceMs: number | undefined;
  /** Whether the next message carries a digest of the local table. */
  private isDigestDue = true;
  /** Version of the list of leaving hosts that the peer holds. */
  leavingHostsVersion = 0;
  /** Highest configuration revision that the peer sent or was sent. */
  revision = 0;

  constructor(private readonly table: MemberTable) {
    this.advertisedVersion = table.getVersion();
  }

  /** Resets all fields if a new incarnation shows that the peer restarted. */
  observeIncarnation(incarnation: number): void {
    if (this.incarnation === incarnation) return;
    this.incarnation = incarnation;
    this.advertisedVersion = this.table.getVersion();
    this.exceptions.clear();
    this.statusSequences.clear();
    this.ownStateKey = UNKNOWN_STATE_KEY;
    this.mismatchSinceMs = undefined;
    this.isDigestDue = true;
    this.leavingHostsVersion = 0;
    this.revision = 0;
  }

  /** Returns whether the next message to the peer must carry a digest. */
  isDigestNeeded(): boolean {
    return this.isDigestDue;
  }

  /**
   * Chooses the members to send: those whose state the peer does not hold, this
   * daemon first, as many as fit into one message.
   */
  chooseMembers(self: Member): Member[] {
    const pending = this.listPendingMembers();
    if (pending.length <= MAX_MEMBERS_PER_MESSAGE) this.setAdvertised(pending);
    const isOwnPending = this.ownStateKey !== makeStateKey(self);
    const chosen = isOwnPending ? [self, ...pending] : pending;
    return chosen.slice(0, MAX_MEMBERS_PER_MESSAGE);
  }

  /**
   * Chooses at most `limit` statuses, those furthest ahead of the statuses that
   * the peer holds.
   */
  chooseStatuses(members: readonly Member[], limit: number): MemberStatus[] {
    if (limit === 0) return [];
    return members
      .map(member => ({member, lag: this.computeLag(member)}))
      .filter(({lag}) => lag > 0)
      .sort((a, b) => b.lag - a.lag)
      .slice(0, limit)
      .map(({member}) => toStatus(member));
  }

  /** Records the states and statuses that the peer sent. */
  recordReceived(
    members: readonly Member[],
    statuses: readonly MemberStatus[],
  ): void {
    for (const member of members) {
      this.exceptions.set(member.id, makeStateKey(member));
      this.recordStatus(member);
    }
    for (const status of statuses) this.recordStatus(status);
  }

  /** Records the states and statuses that were sent to the peer. */
  recordSent(
    self: Member,
    members: readonly Member[],
    statuses: readonly MemberStatus[],
    isDigest: boolean,
  ): void {
    this.recordReceived(members, statuses);
    const sentOwn = members.find(member => member.id === self.id);
    if (sentOwn !== undefined) this.ownStateKey = makeStateKey(sentOwn);
    if (isDigest) this.isDigestDue = false;
  }

  /** Records whether the peer's table equals the local table. */
  recordTableMatch(isEqual: boolean, self: Member, nowMs: number): void {
    if (isEqual) {
      this.mismatchSinceMs = undefined;
      this.isDigestDue = false;
      this.advertisedVersion = this.table.getVersion();
      this.exceptions.clear();
      this.ownStateKey = makeStateKey(self);
      return;
    }
    this.mismatchSinceMs ??= nowMs;
    if (nowMs - this.mismatchSinceMs <= DIGEST_AFTER_MS) return;
    // An update was lost; the digest shows in which buckets the tables differ.
    this.mismatchSinceMs = undefined;
    this.isDigestDue = true;
  }

  /** Records that the peer may lack the state of these members. */
  recordDiffering(members: readonly Member[], self: Member): void {
    for (const {id} of members) {
      if (id === self.id) this.ownStateKey = UNKNOWN_STATE_KEY;
      else this.exceptions.set(id, UNKNOWN_STATE_KEY);
    }
  }

  private listPendingMembers(): Member[] {
    const changed = this.table.listChanged(this.advertisedVersion);
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

  /** Advances the version; the members still to be sent remain exceptions. */
  private setAdvertised(pending: readonly Member[]): void {
    this.advertisedVersion = this.table.getVersion();
    const unsynced = new Map(
      pending.map(({id}) => [id, this.exceptions.get(id) ?? UNKNOWN_STATE_KEY]),
    );
    this.exceptions.clear();
    for (const [id, key] of unsynced) this.exceptions.set(id, key);
  }

  private recordStatus({id, sequence}: MemberStatus): void {
    this.statusSequences.set(id, sequence);
  }

  private computeLag({id, sequence}: Member): number {
    return sequence - (this.statusSequences.get(id) ?? 0);
  }
}
