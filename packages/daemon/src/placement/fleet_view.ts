import type {Member} from '@greengagecross/common';
import {
  hasEveryStatus,
  LoadSnapshot,
  OwnerTable,
} from '@greengagecross/decisions';
import type {MemberService} from '../members/member_service.js';

const REFRESH_INTERVAL_MS = 100;

/**
 * The live daemons, the owners of the engines and the reported loads, at most
 * 100 ms old. The owner of an engine is the daemon that counts its requests.
 * Times are in ms since the epoch.
 */
export class FleetView {
  private refreshedAtMs = -Infinity;
  private live: readonly Member[] = [];
  private ids: readonly string[] = [];
  private byId: ReadonlyMap<string, Member> = new Map();
  private owners = new OwnerTable([]);
  private snapshot = new LoadSnapshot([]);

  constructor(private readonly members: MemberService) {}

  /** Lists the live daemons. */
  listLive(nowMs: number): readonly Member[] {
    this.update(nowMs);
    return this.live;
  }

  /**
   * Lists the daemons that callers may be sent to: the live daemons, or if there
   * are none this daemon, which still serves the callers that reach it while
   * it leaves.
   */
  listAcceptingCallers(nowMs: number): readonly Member[] {
    const live = this.listLive(nowMs);
    return live.length > 0 ? live : [this.members.getSelf()];
  }

  /** Finds an engine's owner; this daemon if there are no live daemons. */
  findOwner(engine: string, nowMs: number): Member {
    this.update(nowMs);
    const owner = this.byId.get(this.owners.find(engine) ?? '');
    return owner ?? this.members.getSelf();
  }

  /** Returns the loads that the daemons last reported. */
  getSnapshot(nowMs: number): LoadSnapshot {
    this.update(nowMs);
    return this.snapshot;
  }

  private update(nowMs: number): void {
    if (nowMs - this.refreshedAtMs < REFRESH_INTERVAL_MS) return;
    this.refreshedAtMs = nowMs;
    this.live = this.members.listLive(nowMs);
    this.byId = new Map(this.live.map(member => [member.id, member]));
    // This daemon and leaving ones are included, since slots of engines that
    // they owned are still in use.
    const others = this.members.listReachable();
    const reachable = [this.members.getSelf(), ...others];
    this.snapshot = new LoadSnapshot(
      reachable.map(({id, engines}) => ({daemon: id, engines})),
      // Whether daemons of a fleet of this size receive the loads of all.
      hasEveryStatus(others.length),
    );
    const ids = this.live.map(member => member.id);
    const previousIds = new Set(this.ids);
    const isUnchanged =
      ids.length === previousIds.size && ids.every(id => previousIds.has(id));
    if (isUnchanged) return;
    this.ids = ids;
    this.owners = new OwnerTable(ids);
  }
}
