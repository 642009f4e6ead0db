import {MemberState, type Member} from '@greengagecross/common';

/** What a daemon knows of one member. */
interface MemberEntry {
  member: Member;
  /** When news of it last arrived, in milliseconds of the local clock. */
  heardAtMs: number;
}

/** Periods of the table, in milliseconds. */
export interface MemberTableOptions {
  /** Silence after which a member gets no new callers. */
  readonly suspectAfterMs: number;
  /** Silence after which a member is forgotten. */
  readonly forgetAfterMs: number;
}

/** The daemons that one daemon knows of, and which of them it takes for live. */
export class MemberTable {
  private readonly entries = new Map<string, MemberEntry>();

  constructor(
    private readonly selfId: string,
    private readonly options: MemberTableOptions,
  ) {}

  /** Merges news of a member; older news is dropped. */
  observe(member: Member, nowMs: number): void {
    if (member.id === this.selfId) return;
    const known = this.entries.get(member.id);
    if (known !== undefined && !isNewer(member, known.member)) return;
    this.entries.set(member.id, {member, heardAtMs: nowMs});
  }

  /** Lists members that answer and stay; suspects and leaving ones are out. */
  listLive(nowMs: number): Member[] {
    return this.listHeard(nowMs).filter(
      member => member.state === MemberState.LIVE,
    );
  }

  /** Lists members that answer, leaving ones included. */
  listHeard(nowMs: number): Member[] {
    const {suspectAfterMs} = this.options;
    return [...this.entries.values()]
      .filter(entry => nowMs - entry.heardAtMs < suspectAfterMs)
      .map(entry => entry.member);
  }

  /** Lists every member still remembered. */
  listKnown(): Member[] {
    return [...this.entries.values()].map(entry => entry.member);
  }

  /** Removes members that have been silent for long. */
  removeForgotten(nowMs: number): void {
    for (const [id, entry] of this.entries) {
      if (nowMs - entry.heardAtMs < this.options.forgetAfterMs) continue;
      this.entries.delete(id);
    }
  }
}

function isNewer(news: Member, known: Member): boolean {
  if (news.incarnation !== known.incarnation) {
    return news.incarnation > known.incarnation;
  }
  return news.sequence > known.sequence;
}
