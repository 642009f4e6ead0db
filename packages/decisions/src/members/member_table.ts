import {
  hash32,
  MemberState,
  type Member,
  type MemberStatus,
} from '@greengagecross/common';
import {
  isNewerState,
  isNewerStatus,
  makeStateKey,
  toStatus,
} from './member_order.js';

const DIGEST_BUCKETS = 32;

/** State of one member as this daemon holds it. */
interface MemberEntry {
  member: Member;
  /** When the last message sent by the member itself (not relayed) arrived. */
  lastSeenAtMs: number;
  /** When its state last changed. */
  changedAtMs: number;
  /** Version of the table that this change made. */
  changedVersion: number;
  /** Set while the member is a suspect. */
  suspicion?: Suspicion;
}

/** A suspicion, which the member may refute before it takes effect. */
interface Suspicion {
  /** State that still counts until the suspicion takes effect. */
  readonly previousState: MemberState;
  /** When the member counts as failed, in milliseconds since the epoch. */
  readonly effectiveFromMs: number;
  /** Whether this daemon itself failed to reach the member. */
  readonly isOwn: boolean;
}

/** Periods of the table, in milliseconds. */
export interface MemberTableOptions {
  /** Time from becoming a suspect until removal from the table. */
  readonly removeAfterMs: number;
  /** Time that a member has to refute a suspicion of another daemon. */
  readonly refuteMs: number;
}

/**
 * The other daemons (members) that one daemon holds in its table, and their
 * states. Used by package `daemon`. Times are milliseconds since the epoch.
 *
 * A member that neither this daemon nor the daemons that it asked to try could
 * reach becomes a suspect (a daemon; in suspects/ a suspect is a request). The
 * state before the suspicion counts until the time to refute has elapsed; then
 * the member counts as failed. A reachable member is one that is not a suspect.
 */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();
  private version = 0;
  private digestVersion = -1;
  private digest: number[] = [];

  constructor(
    private readonly selfId: string,
    private readonly options: MemberTableOptions,
  ) {}

  /** Returns the version, which rises with each change of a member's state. */
  getVersion(): number {
    return this.version;
  }

  /** Merges an update of a member; returns whether the state changed. */
  merge(update: Member, nowMs: number): boolean {
    if (update.id === this.selfId) return false;
    const entry = this.entries.get(update.id);
    if (entry === undefined) {
      // This daemon has already removed the suspect; the others will do so too.
      if (update.state === MemberState.SUSPECT) return false;
      this.addEntry(update, nowMs);
      return true;
    }
    this.mergeStatus(update);
    if (!isNewerState(update, entry.member)) return false;
    this.updateSuspicion(entry, update, nowMs + this.options.refuteMs, false);
    const isSameIncarnation = update.incarnation === entry.member.incarnation;
    const status = isSameIncarnation ? toStatus(entry.member) : {};
    entry.member = {...update, ...status};
    this.recordChange(entry, nowMs);
    return true;
  }

  /** Merges an update of a member's status; ignored for unknown members. */
  mergeStatus(update: MemberStatus): void {
    const entry = this.entries.get(update.id);
    if (entry === undefined || !isNewerStatus(update, entry.member)) return;
    entry.member = {...entry.member, ...toStatus(update)};
  }

  /** Records that a member itself sent a message; ignored if unknown. */
  recordLastSeen(id: string, nowMs: number): void {
    const entry = this.entries.get(id);
    if (entry !== undefined) entry.lastSeenAtMs = nowMs;
  }

  /**
   * Marks a member as a suspect, which neither this daemon nor the daemons that
   * it asked to try could reach.
   *
   * @param isCertain whether the member counts as failed at once, for example
   *     when its host refused connections; if false, it has time to refute
   */
  setSuspect(id: string, nowMs: number, isCertain: boolean): void {
    const entry = this.entries.get(id);
    if (entry === undefined) return;
    const suspect = {...entry.member, state: MemberState.SUSPECT};
    const newMs = isCertain ? nowMs : nowMs + this.options.refuteMs;
    const currentMs = entry.suspicion?.effectiveFromMs ?? newMs;
    this.updateSuspicion(entry, suspect, Math.min(currentMs, newMs), true);
    if (entry.member.state === MemberState.SUSPECT) return;
    entry.member = suspect;
    this.recordChange(entry, nowMs);
  }

  /**
   * Removes this daemon's own suspicions and restores the states before them.
   * Called when this daemon was partitioned: unreached members may be running.
   */
  removeOwnSuspicions(): void {
    for (const entry of this.entries.values()) {
      if (entry.suspicion?.isOwn !== true) continue;
      entry.member = {...entry.member, state: entry.suspicion.previousState};
      delete entry.suspicion;
      this.recordChange(entry, entry.changedAtMs);
    }
  }

  /** Returns whether a member is a suspect; false for unknown members. */
  isSuspect(id: string): boolean {
    return this.entries.get(id)?.member.state === MemberState.SUSPECT;
  }

  /** Finds a member; undefined when it is not in the table. */
  find(id: string): Member | undefined {
    return this.entries.get(id)?.member;
  }

  /** Computes the ms since the member's own last message; 0 if unknown. */
  computeSilenceMs(id: string, nowMs: number): number {
    return nowMs - (this.entries.get(id)?.lastSeenAtMs ?? nowMs);
  }

  /** Lists members that take callers, also suspects that may still refute. */
  listLive(nowMs: number): Member[] {
    return [...this.entries.values()]
      .filter(entry => isLive(entry, nowMs))
      .map(entry => entry.member);
  }

  /** Lists the reachable members, joining and leaving ones included. */
  listReachable(): Member[] {
    return this.listAll().filter(({state}) => state !== MemberState.SUSPECT);
  }

  /** Counts the reachable members. */
  countReachable(): number {
    return this.listReachable().length;
  }

  /** Lists all members of the table, suspects included. */
  listAll(): Member[] {
    return [...this.entries.values()].map(entry => entry.member);
  }

  /** Lists the members whose state changed after a version of the table. */
  listChanged(version: number): Member[] {
    if (version >= this.version) return [];
    return [...this.entries.values()]
      .filter(entry => entry.changedVersion > version)
      .map(entry => entry.member);
  }

  /** Lists the members that neighbours are chosen from: all but failed ones. */
  listNeighbourCandidates(nowMs: number): Member[] {
    return [...this.entries.values()]
      .filter(entry => !isFailed(entry, nowMs))
      .map(entry => entry.member);
  }

  /** Removes the suspects past their retention; returns the removed members. */
  removeExpired(nowMs: number): Member[] {
    const removed: Member[] = [];
    for (const [id, {member, changedAtMs}] of this.entries) {
      if (member.state !== MemberState.SUSPECT) continue;
      if (nowMs - changedAtMs < this.options.removeAfterMs) continue;
      this.entries.delete(id);
      this.version += 1;
      removed.push(member);
    }
    return removed;
  }

  /**
   * Computes a digest of the states of the reachable members and this daemon:
   * one 32-bit hash for each bucket, equal on daemons that hold equal states.
   */
  computeDigest(self: Member): number[] {
    if (this.digestVersion !== this.version) {
      this.digest = new Array<number>(DIGEST_BUCKETS).fill(0);
      for (const member of this.listReachable()) addState(this.digest, member);
      this.digestVersion = this.version;
    }
    const digest = [...this.digest];
    addState(digest, self);
    return digest;
  }

  /** Computes one 32-bit hash of the whole digest. */
  computeHash(self: Member): number {
    return this.computeDigest(self).reduce((a, b) => (a ^ b) >>> 0, 0);
  }

  /** Lists the members of the buckets in which another digest differs. */
  listDiffering(self: Member, digest: readonly number[]): Member[] {
    const own = this.computeDigest(self);
    return [self, ...this.listAll()].filter(({id}) => {
      const bucket = computeBucket(id);
      return own[bucket] !== digest[bucket];
    });
  }

  private updateSuspicion(
    entry: MemberEntry,
    update: Member,
    effectiveFromMs: number,
    isOwn: boolean,
  ): void {
    if (update.state !== MemberState.SUSPECT) {
      delete entry.suspicion;
      return;
    }
    const previousState = entry.suspicion?.previousState ?? entry.member.state;
    entry.suspicion = {previousState, effectiveFromMs, isOwn};
  }

  private addEntry(member: Member, nowMs: number): void {
    const entry: MemberEntry = {
      member,
      lastSeenAtMs: nowMs,
      changedAtMs: nowMs,
      changedVersion: 0,
    };
    this.entries.set(member.id, entry);
    this.recordChange(entry, nowMs);
  }

  private recordChange(entry: MemberEntry, nowMs: number): void {
    this.version += 1;
    entry.changedAtMs = nowMs;
    entry.changedVersion = this.version;
  }
}

function computeBucket(id: string): number {
  return hash32(id) % DIGEST_BUCKETS;
}

function addState(digest: number[], member: Member): void {
  const bucket = computeBucket(member.id);
  const hash = hash32(makeStateKey(member));
  digest[bucket] = ((digest[bucket] ?? 0) ^ hash) >>> 0;
}

function isFailed({member, suspicion}: MemberEntry, nowMs: number): boolean {
  if (member.state !== MemberState.SUSPECT) return false;
  return suspicion === undefined || nowMs >= suspicion.effectiveFromMs;
}

function isLive(entry: MemberEntry, nowMs: number): boolean {
  if (isFailed(entry, nowMs)) return false;
  const state = entry.suspicion?.previousState ?? entry.member.state;
  return state === MemberState.LIVE;
}
