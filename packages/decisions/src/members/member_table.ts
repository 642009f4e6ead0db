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

/** What a daemon knows of one member. */
interface MemberEntry {
  member: Member;
  /** When it was last heard directly, in milliseconds of the local clock. */
  heardAtMs: number;
  /** When its state last changed here, in milliseconds of the local clock. */
  changedAtMs: number;
  /** What holds until it has had time to refute that it is suspect. */
  suspicion?: Suspicion;
}

/** A suspicion that its member may still refute. */
interface Suspicion {
  readonly stateBefore: MemberState;
  readonly holdsFromMs: number;
  /** Whether this daemon itself failed to reach the member. */
  readonly isOwn: boolean;
}

/** Periods of the table, in milliseconds. */
export interface MemberTableOptions {
  /** Time after which a member that nobody reaches is forgotten. */
  readonly forgetAfterMs: number;
  /** Time that a member has to refute what a third daemon says. */
  readonly refuteMs: number;
}

/** The daemons that one daemon knows of, and which of them it takes for live. */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();
  private version = 0;
  private hashedVersion = -1;
  private hash = 0;

  constructor(
    private readonly selfId: string,
    private readonly options: MemberTableOptions,
  ) {}

  /** Gets a number that rises with each change of any member's state. */
  getVersion(): number {
    return this.version;
  }

  /** Merges news of a member; tells whether its state changed. */
  observe(news: Member, nowMs: number): boolean {
    if (news.id === this.selfId) return false;
    const known = this.entries.get(news.id);
    if (known === undefined) {
      // Forgotten here; those that remember it will forget it too.
      if (news.state === MemberState.SUSPECT) return false;
      this.addEntry(news, nowMs);
      return true;
    }
    this.observeStatus(news);
    if (!isNewerState(news, known.member)) return false;
    this.updateSuspicion(known, news, nowMs + this.options.refuteMs, false);
    const isSameRun = news.incarnation === known.member.incarnation;
    const status = isSameRun ? toStatus(known.member) : {};
    known.member = {...news, ...status};
    known.changedAtMs = nowMs;
    this.version += 1;
    return true;
  }

  /** Merges news of a member's status; an unknown member's is dropped. */
  observeStatus(news: MemberStatus): void {
    const known = this.entries.get(news.id);
    if (known === undefined || !isNewerStatus(news, known.member)) return;
    known.member = {...known.member, ...toStatus(news)};
  }

  /** Records that a member was heard directly. */
  recordHeard(id: string, nowMs: number): void {
    const known = this.entries.get(id);
    if (known !== undefined) known.heardAtMs = nowMs;
  }

  /** Suspects a member that none of those asked could reach. */
  setSuspect(id: string, nowMs: number): void {
    const known = this.entries.get(id);
    if (known === undefined) return;
    const news = {...known.member, state: MemberState.SUSPECT};
    this.updateSuspicion(known, news, nowMs, true);
    if (known.member.state === MemberState.SUSPECT) return;
    known.member = news;
    known.changedAtMs = nowMs;
    this.version += 1;
  }

  /**
   * Takes back what this daemon alone found: it was itself cut off, and those
   * that it could not reach may be there.
   */
  removeOwnSuspicions(): void {
    for (const entry of this.entries.values()) {
      if (entry.suspicion?.isOwn !== true) continue;
      entry.member = {...entry.member, state: entry.suspicion.stateBefore};
      delete entry.suspicion;
      this.version += 1;
    }
  }

  /** Tells whether a member is suspected here. */
  isSuspect(id: string): boolean {
    return this.entries.get(id)?.member.state === MemberState.SUSPECT;
  }

  /** Finds a member that is still remembered. */
  find(id: string): Member | undefined {
    return this.entries.get(id)?.member;
  }

  /** Computes how long a member has not been heard directly. */
  computeSilenceMs(id: string, nowMs: number): number {
    return nowMs - (this.entries.get(id)?.heardAtMs ?? nowMs);
  }

  /** Lists members that stay and take callers; suspects are out. */
  listLive(nowMs: number): Member[] {
    return [...this.entries.values()]
      .filter(entry => isLive(entry, nowMs))
      .map(entry => entry.member);
  }

  /** Lists members that are there, joining and leaving ones included. */
  listHeard(): Member[] {
    return this.listKnown().filter(({state}) => state !== MemberState.SUSPECT);
  }

  /** Lists every member still remembered, suspects included. */
  listKnown(): Member[] {
    return [...this.entries.values()].map(entry => entry.member);
  }

  /** Removes and lists members that nobody has reached for long. */
  removeForgotten(nowMs: number): Member[] {
    const forgotten: Member[] = [];
    for (const [id, {member, changedAtMs}] of this.entries) {
      if (member.state !== MemberState.SUSPECT) continue;
      if (nowMs - changedAtMs < this.options.forgetAfterMs) continue;
      this.entries.delete(id);
      this.version += 1;
      forgotten.push(member);
    }
    return forgotten;
  }

  /**
   * Computes a number that is equal on daemons that know the same states;
   * each adds itself.
   */
  computeHash(self: Member): number {
    if (this.hashedVersion !== this.version) {
      this.hash = 0;
      for (const member of this.listHeard()) this.hash ^= hashState(member);
      this.hashedVersion = this.version;
    }
    return (this.hash ^ hashState(self)) >>> 0;
  }

  private updateSuspicion(
    known: MemberEntry,
    news: Member,
    holdsFromMs: number,
    isOwn: boolean,
  ): void {
    if (news.state !== MemberState.SUSPECT) {
      delete known.suspicion;
      return;
    }
    const stateBefore = known.suspicion?.stateBefore ?? known.member.state;
    known.suspicion = {stateBefore, holdsFromMs, isOwn};
  }

  private addEntry(member: Member, nowMs: number): void {
    const entry = {member, heardAtMs: nowMs, changedAtMs: nowMs};
    this.entries.set(member.id, entry);
    this.version += 1;
  }
}

function hashState(member: Member): number {
  return hash32(makeStateKey(member));
}

function isLive({member, suspicion}: MemberEntry, nowMs: number): boolean {
  if (member.state !== MemberState.SUSPECT) {
    return member.state === MemberState.LIVE;
  }
  if (suspicion === undefined || nowMs >= suspicion.holdsFromMs) return false;
  return suspicion.stateBefore === MemberState.LIVE;
}
