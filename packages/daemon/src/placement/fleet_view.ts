import type {Member} from '@greengagecross/common';
import {
  hasEveryStatus,
  LoadSnapshot,
  OwnerTable,
} from '@greengagecross/decisions';
import type {MemberService} from '../members/member_service.js';

const REFRESH_MS = 100;

/** The live daemons, which engines each owns, and the loads they report. */
export class FleetView {
  private refreshedAtMs = -Infinity;
  private live: readonly Member[] = [];
  private ids: readonly string[] = [];
  private byId: ReadonlyMap<string, Member> = new Map();
  private owners = new OwnerTable([]);
  private snapshot = new LoadSnapshot([]);

  constructor(private readonly members: MemberService) {}

  /** Lists the daemons that take callers. */
  listLive(nowMs: number): readonly Member[] {
    this.update(nowMs);
    return this.live;
  }

  /** Lists whom callers may be sent to; one that leaves alone still serves. */
  listTakingCallers(nowMs: number): readonly Member[] {
    const live = this.listLive(nowMs);
    return live.length > 0 ? live : [this.members.getSelf()];
  }

  /** Finds the daemon that counts an engine's requests. */
  findOwner(engine: string, nowMs: number): Member {
    this.update(nowMs);
    const owner = this.byId.get(this.owners.find(engine) ?? '');
    return owner ?? this.members.getSelf();
  }

  /** Gets the loads that daemons last reported. */
  getSnapshot(nowMs: number): LoadSnapshot {
    this.update(nowMs);
    return this.snapshot;
  }

  private update(nowMs: number): void {
    if (nowMs - this.refreshedAtMs < REFRESH_MS) return;
    this.refreshedAtMs = nowMs;
    this.live = this.members.listLive(nowMs);
    this.byId = new Map(this.live.map(member => [member.id, member]));
    // A leaving daemon still holds slots of engines that it owned.
    const others = this.members.listOthers();
    const there = [this.members.getSelf(), ...others];
    this.snapshot = new LoadSnapshot(
      there.map(({id, engines}) => ({daemon: id, engines})),
      hasEveryStatus(others.length),
    );
    const ids = this.live.map(member => member.id);
    const known = new Set(this.ids);
    const isSame = ids.length === known.size && ids.every(id => known.has(id));
    if (isSame) return;
    this.ids = ids;
    this.owners = new OwnerTable(ids);
  }
}
