import {Clock, Effect, Latch} from 'effect';
import {MemberState, type Address, type Member} from '@greengagecross/common';
import {
  computeRelayedStatuses,
  PeerSyncState,
  type MemberTable,
  type ReplyTimeout,
} from '@greengagecross/decisions';
import {
  HeartbeatSchema,
  PeerMethod,
  type Heartbeat,
  type PeerRpc,
  type PeerError,
} from '@greengagecross/peers';
import type {HostFollower} from '../hosts/host_follower.js';
import type {SelfRecord} from './self_record.js';

/**
 * Sends and answers heartbeats. Each heartbeat carries only the updates that
 * the peer does not have yet.
 */
export class HeartbeatExchange {
  /** Opened briefly by {@link wakeNeighbourFibers}; waiters then continue. */
  readonly wakeLatch = Latch.makeUnsafe(false);
  /** By id of the peer. */
  private readonly syncStates = new Map<string, PeerSyncState>();
  private highestRevision = 0;

  constructor(
    private readonly self: SelfRecord,
    private readonly table: MemberTable,
    private readonly hosts: HostFollower,
    private readonly peers: PeerRpc,
    private readonly timeout: ReplyTimeout,
  ) {}

  /**
   * Returns the highest configuration revision that this or another daemon has
   * reported; 0 if none.
   */
  getHighestRevision(): number {
    return this.highestRevision;
  }

  /**
   * Wakes the fibers for all neighbours if this daemon itself has a newer
   * configuration revision.
   */
  observeOwnRevision(): void {
    const {configurationRevision} = this.self.getMember();
    if (this.updateRevision(configurationRevision)) this.wakeNeighbourFibers();
  }

  /** Wakes this daemon's fibers for neighbours, which send pending updates. */
  wakeNeighbourFibers(): void {
    this.wakeLatch.openUnsafe();
    this.wakeLatch.closeUnsafe();
  }

  /** Returns whether an update is still to be sent to a peer. */
  hasPendingUpdate(peer: string): boolean {
    const syncState = this.getSyncState(peer);
    return (
      syncState.chooseMembers(this.self.getMember()).length > 0 ||
      syncState.revision < this.highestRevision ||
      syncState.leavingHostsVersion < this.hosts.getLeavingHosts().version
    );
  }

  /**
   * Sends a heartbeat, merges the reply and returns the id of the daemon that
   * replied.
   *
   * @param peer id of the daemon at the address; if undefined, the heartbeat
   *     carries this daemon's record and a digest of the member table, as if
   *     nothing had been sent before
   * @param timeoutMs in milliseconds; by default depends on the duration of
   *     recent replies
   */
  send(
    address: Address,
    peer: string | undefined,
    timeoutMs?: number,
  ): Effect.Effect<string, PeerError> {
    return Effect.gen({self: this}, function* () {
      const sent = this.makeHeartbeat(peer);
      const startMs = yield* Clock.currentTimeMillis;
      const reply = yield* this.peers.send(
        address,
        PeerMethod.HEARTBEAT,
        sent,
        HeartbeatSchema,
        timeoutMs ?? this.timeout.computeMs(startMs),
      );
      const endMs = yield* Clock.currentTimeMillis;
      this.timeout.recordReply(endMs - startMs, endMs);
      this.recordSent(reply.from, sent);
      yield* this.mergeHeartbeat(reply);
      return reply.from;
    });
  }

  /** Merges a heartbeat and returns the reply to it. */
  answer(heartbeat: Heartbeat): Effect.Effect<Heartbeat> {
    return Effect.map(this.mergeHeartbeat(heartbeat), () => {
      // A digest is answered with a digest.
      const isDigestRequested = heartbeat.digest !== undefined;
      const reply = this.makeHeartbeat(heartbeat.from, isDigestRequested);
      // Recorded although the reply may be lost. The table hashes then differ,
      // and a later heartbeat sends the missing records.
      this.recordSent(heartbeat.from, reply);
      return reply;
    });
  }

  /** Removes the state kept for peers that were removed from the table. */
  removePeers(removed: readonly Member[]): void {
    for (const {id} of removed) this.syncStates.delete(id);
  }

  private makeHeartbeat(
    peer: string | undefined,
    isDigestRequested = false,
  ): Heartbeat {
    const own = this.self.getMember();
    const {id, incarnation} = own;
    const syncState =
      peer === undefined
        ? new PeerSyncState(this.table)
        : this.getSyncState(peer);
    const pending = syncState.chooseMembers(own);
    // A suspect (a daemon that could not be reached) may have stopped. If it
    // runs, it must first refute the suspicion, so it is sent only the records
    // of itself and of this daemon.
    const isSuspect = peer !== undefined && this.table.isSuspect(peer);
    const members = isSuspect
      ? pending.filter(member => member === own || member.id === peer)
      : pending;
    const others = this.table.listAll().filter(({id}) => id !== peer);
    const isOwnSent = members.includes(own);
    // Statuses are the fields of a record that change often (MemberStatus): up
    // to 1 of this daemon and a few that are relayed.
    const statuses = [
      ...syncState.chooseStatuses(isOwnSent ? [] : [own], 1),
      ...syncState.chooseStatuses(
        others,
        computeRelayedStatuses(others.length),
      ),
    ];
    this.updateRevision(own.configurationRevision);
    const leavingHosts = this.hosts.getLeavingHosts();
    const hasDigest = isDigestRequested || syncState.isDigestNeeded();
    return {
      from: id,
      incarnation,
      members,
      statuses,
      tableHash: this.table.computeHash(own),
      ...(hasDigest ? {digest: this.table.computeDigest(own)} : {}),
      highestRevision: this.highestRevision,
      ...(leavingHosts.version > syncState.leavingHostsVersion
        ? {hosts: leavingHosts}
        : {}),
    };
  }

  private mergeHeartbeat(heartbeat: Heartbeat): Effect.Effect<void> {
    return Effect.map(Clock.currentTimeMillis, nowMs => {
      const {from, incarnation, members, statuses} = heartbeat;
      const syncState = this.getSyncState(from);
      syncState.observeIncarnation(incarnation);
      const own = this.self.getMember();
      // A peer that is a suspect here may have been partitioned. Its suspicions
      // of others are then wrong.
      const isTrusted = !this.table.isSuspect(from);
      const changes = members
        .filter(
          ({id, state}) =>
            isTrusted || id === own.id || state !== MemberState.SUSPECT,
        )
        .map(member => this.mergeMember(member, nowMs));
      for (const status of statuses) this.table.mergeStatus(status);
      this.table.recordLastSeen(from, nowMs);
      this.compareTables(heartbeat, syncState, nowMs);
      syncState.recordReceived(members, statuses);
      syncState.revision = heartbeat.highestRevision;
      const isNewerRevision = this.updateRevision(heartbeat.highestRevision);
      const hasNewerHosts = this.mergeLeavingHosts(heartbeat, syncState);
      const hasUpdate =
        changes.includes(true) || isNewerRevision || hasNewerHosts;
      if (hasUpdate) this.wakeNeighbourFibers();
    });
  }

  private mergeMember(member: Member, nowMs: number): boolean {
    if (member.id !== this.self.getMember().id) {
      return this.table.merge(member, nowMs);
    }
    const isRefuted = this.self.updateToRefute(member);
    if (isRefuted) this.table.removeOwnSuspicions();
    return isRefuted;
  }

  private mergeLeavingHosts(
    {hosts}: Heartbeat,
    syncState: PeerSyncState,
  ): boolean {
    if (hosts === undefined) return false;
    syncState.leavingHostsVersion = hosts.version;
    return this.hosts.mergeUpdate(hosts);
  }

  private compareTables(
    {tableHash, digest}: Heartbeat,
    syncState: PeerSyncState,
    nowMs: number,
  ): void {
    const own = this.self.getMember();
    const isEqual = tableHash === this.table.computeHash(own);
    syncState.recordTableMatch(isEqual, own, nowMs);
    if (isEqual || digest === undefined) return;
    syncState.recordDiffering(this.table.listDiffering(own, digest), own);
  }

  private updateRevision(revision: number): boolean {
    if (revision <= this.highestRevision) return false;
    this.highestRevision = revision;
    return true;
  }

  private recordSent(peer: string, sent: Heartbeat): void {
    const syncState = this.getSyncState(peer);
    const {members, statuses, digest} = sent;
    const own = this.self.getMember();
    syncState.recordSent(own, members, statuses, digest !== undefined);
    syncState.revision = Math.max(syncState.revision, sent.highestRevision);
    syncState.leavingHostsVersion = Math.max(
      syncState.leavingHostsVersion,
      sent.hosts?.version ?? 0,
    );
  }

  private getSyncState(peer: string): PeerSyncState {
    const existing = this.syncStates.get(peer);
    if (existing !== undefined) return existing;
    const syncState = new PeerSyncState(this.table);
    this.syncStates.set(peer, syncState);
    return syncState;
  }
}
