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

const DIGEST_SHARES = 32;

/** What a daemon knows of one member. */
interface MemberEntry {
  member: Member;
  /** When it was last heard directly, in milliseconds of the local clock. */
  heardAtMs: number;
  /** When its state last changed here, in milliseconds of the local clock. */
  changedAtMs: number;
  /** Version of the table with that change. */
  changedVersion: number;
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
  private digestVersion = -1;
  private digest: number[] = [];

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
    this.recordChange(known, nowMs);
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

  /**
   * Suspects a member that none of those asked could reach.
   *
   * @param isCertain whether it counts as gone at once, as where its host
   *     refused connections; else the member has time to refute it
   */
  setSuspect(id: string, nowMs: number, isCertain: boolean): void {
    const known = this.entries.get(id);
    if (known === undefined) return;
    const news = {...known.member, state: MemberState.SUSPECT};
    const holdsFromMs = isCertain ? nowMs : nowMs + this.options.refuteMs;
    const untilMs = known.suspicion?.holdsFromMs ?? holdsFromMs;
    this.updateSuspicion(known, news, Math.min(untilMs, holdsFromMs), true);
    if (known.member.state === MemberState.SUSPECT) return;
    known.member = news;
    this.recordChange(known, nowMs);
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
      this.recordChange(entry, entry.changedAtMs);
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

  /** Counts members that are there. */
  countHeard(): number {
    return this.listHeard().length;
  }

  /** Lists every member still remembered, suspects included. */
  listKnown(): Member[] {
    return [...this.entries.values()].map(entry => entry.member);
  }

  /** Lists the members whose state changed after a version of the table. */
  listChanged(version: number): Member[] {
    if (version >= this.version) return [];
    return [...this.entries.values()]
      .filter(entry => entry.changedVersion > version)
      .map(entry => entry.member);
  }

  /** Lists members that are there, or may still refute that they are not. */
  listWatched(nowMs: number): Member[] {
    return [...this.entries.values()]
      .filter(entry => !isGone(entry, nowMs))
      .map(entry => entry.member);
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
   * Computes numbers that are equal on daemons that know the same states, one
   * for each share of the members; each daemon adds itself.
   */
  computeDigest(self: Member): number[] {
    if (this.digestVersion !== this.version) {
      this.digest = new Array<number>(DIGEST_SHARES).fill(0);
      for (const member of this.listHeard()) addState(this.digest, member);
      this.digestVersion = this.version;
    }
    const digest = [...this.digest];
    addState(digest, self);
    return digest;
  }

  /** Computes one number for the whole of the digest. */
  computeHash(self: Member): number {
    return this.computeDigest(self).reduce((a, b) => (a ^ b) >>> 0, 0);
  }

  /** Lists the members of the shares in which another digest differs. */
  listDiffering(self: Member, digest: readonly number[]): Member[] {
    const own = this.computeDigest(self);
    return [self, ...this.listKnown()].filter(({id}) => {
      const share = findShare(id);
      return own[share] !== digest[share];
    });
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
    const entry: MemberEntry = {
      member,
      heardAtMs: nowMs,
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

function findShare(id: string): number {
  return hash32(id) % DIGEST_SHARES;
}

function addState(digest: number[], member: Member): void {
  const share = findShare(member.id);
  const hash = hash32(makeStateKey(member));
  digest[share] = ((digest[share] ?? 0) ^ hash) >>> 0;
}

function isGone({member, suspicion}: MemberEntry, nowMs: number): boolean {
  if (member.state !== MemberState.SUSPECT) return false;
  return suspicion === undefined || nowMs >= suspicion.holdsFromMs;
}

function isLive(entry: MemberEntry, nowMs: number): boolean {
  if (isGone(entry, nowMs)) return false;
  const state = entry.suspicion?.stateBefore ?? entry.member.state;
  return state === MemberState.LIVE;
}
