/**
 * Time for which a silent daemon still counts. Longer than a server is usually
 * cold, so that lost heartbeats seldom change the senders of a cold server.
 */
const RETENTION_MS = 10_000;

/** Another daemon that counts as running now. */
export interface HeardMember {
  readonly id: string;
  /** Whether the daemon says that it is stopping. */
  readonly isLeaving: boolean;
}

interface KnownMember {
  lastHeardMs: number;
  isLeaving: boolean;
}

/**
 * Members of the fleet for decisions that are unsafe with too few members: if a
 * daemon forgets members that still run, it takes over shares that they still
 * use.
 *
 * A silent member is forgotten after RETENTION_MS and only by a daemon that hears
 * more than half of the members it knows, so that of the parts of a divided fleet
 * at most one forgets the others. A daemon that hears nobody keeps the members
 * that it last knew. A member that announced its stop is always forgotten.
 */
export class KnownMembers {
  private readonly members = new Map<string, KnownMember>();

  /** Records the daemons that count as running; `nowMs` is monotonic. */
  update(heard: readonly HeardMember[], nowMs: number): boolean {
    let isChanged = false;
    for (const {id, isLeaving} of heard) {
      isChanged ||= !this.members.has(id);
      this.members.set(id, {lastHeardMs: nowMs, isLeaving});
    }
    // Both counts include this daemon.
    const isMajority = 2 * (heard.length + 1) > this.members.size + 1;
    for (const [id, {lastHeardMs, isLeaving}] of this.members) {
      if (nowMs - lastHeardMs <= RETENTION_MS) continue;
      if (!isMajority && !isLeaving) continue;
      this.members.delete(id);
      isChanged = true;
    }
    return isChanged;
  }

  /** Lists the ids of the other members. */
  listIds(): string[] {
    return [...this.members.keys()];
  }
}
