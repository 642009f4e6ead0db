import type {Address, SeededRandom} from '@greengagecross/common';
import type {DaemonIdentity} from '../model/daemon_identity.js';
import type {ReferredPeer} from './configuration_message.js';
import type {Heartbeat} from './heartbeat.js';

/** Maximum number of peers that are known only by referral. */
const MAX_REFERRED = 64;

/** A peer that can be asked for a configuration. */
export interface ConfigurationHolder {
  readonly id: string;
  /** Address for RPCs. */
  readonly address: Address;
  /** Version that the peer has advertised, or was sent. */
  readonly version: number;
}

/**
 * The peers that hold a newer configuration than this daemon, and which of them
 * may be asked for it. Each `nowMs` is a time on the monotonic clock.
 */
export class ConfigurationHolders {
  /** Holders that others referred to, by id. */
  private readonly referred = new Map<string, ConfigurationHolder>();
  private readonly failedIds = new Set<string>();
  /** Times before which peers are not asked again, by id. */
  private readonly pausedUntilMs = new Map<string, number>();

  /** The peer to ask next, and when; no other is asked before. */
  private turn: {holder: ConfigurationHolder; atMs: number} | undefined;

  /** @param listRunning lists the last heartbeats of the running peers */
  constructor(
    private readonly self: DaemonIdentity,
    private readonly listRunning: () => readonly Heartbeat[],
    private readonly random: SeededRandom,
  ) {}

  /** Returns the newest version that a running peer advertises; -1 for none. */
  findNewestVersion(): number {
    return this.listRunning().reduce(
      (newest, peer) => Math.max(newest, peer.configurationVersion),
      -1,
    );
  }

  /** Removes what was recorded of peers, to ask all of them again. */
  startRound(): void {
    this.referred.clear();
    this.failedIds.clear();
    this.pausedUntilMs.clear();
    this.turn = undefined;
  }

  /**
   * Chooses a peer to ask for a newer version than `heldVersion`; undefined if
   * none may be asked now. Only holders of the newest version count, so that
   * versions which are replaced already are not sent. A turn comes first, then
   * those in the own availability zone, then chance decides.
   */
  choose(heldVersion: number, nowMs: number): ConfigurationHolder | undefined {
    const {turn} = this;
    if (turn !== undefined) {
      if (nowMs < turn.atMs) return undefined;
      this.turn = undefined;
      return turn.holder;
    }
    const holders = this.listNewest(heldVersion).filter(
      ({id}) => this.computePauseMs(id, nowMs) === 0,
    );
    const zoneIds = this.listZoneIds();
    const inZone = holders.filter(({id}) => zoneIds.has(id));
    return this.random.choose(inZone.length > 0 ? inZone : holders);
  }

  /**
   * Computes the time until the first paused peer may be asked, in
   * milliseconds; undefined if there are no peers left to ask.
   */
  computeWaitMs(heldVersion: number, nowMs: number): number | undefined {
    if (this.turn !== undefined) return Math.ceil(this.turn.atMs - nowMs);
    const waits = this.listNewest(heldVersion).map(({id}) =>
      this.computePauseMs(id, nowMs),
    );
    return waits.length === 0 ? undefined : Math.min(...waits);
  }

  /** Lists the peers with a newer version that do not know the RPC for it. */
  listEarlierReleases(heldVersion: number): Heartbeat[] {
    return this.listRunning().filter(
      ({configurationVersion, isConfigurationServed}) =>
        configurationVersion > heldVersion && isConfigurationServed !== true,
    );
  }

  /** Adds peers that were sent a version. */
  addReferred(version: number, peers: readonly ReferredPeer[]): void {
    for (const {id, address} of peers) {
      const isFull = this.referred.size >= MAX_REFERRED;
      if (id === this.self.id || (isFull && !this.referred.has(id))) continue;
      this.referred.set(id, {id, address, version});
    }
  }

  /** Records the turn that a busy peer gave. */
  setTurn(version: number, {id, address}: ReferredPeer, atMs: number): void {
    if (this.failedIds.has(id)) return;
    this.addReferred(version, [{id, address}]);
    this.turn = {holder: {id, address, version}, atMs};
  }

  /** Records that a peer is not to be asked before a time. */
  setPaused(id: string, untilMs: number): void {
    this.pausedUntilMs.set(id, untilMs);
  }

  /** Records that a peer is not to be asked again in this round. */
  setFailed(id: string): void {
    this.failedIds.add(id);
  }

  private computePauseMs(id: string, nowMs: number): number {
    // Whole milliseconds: a rest below the clock's precision would never pass.
    const pauseMs = (this.pausedUntilMs.get(id) ?? nowMs) - nowMs;
    return Math.max(0, Math.ceil(pauseMs));
  }

  private listNewest(heldVersion: number): ConfigurationHolder[] {
    const holders = this.list(heldVersion);
    const newest = Math.max(...holders.map(({version}) => version));
    return holders.filter(({version}) => version === newest);
  }

  private list(heldVersion: number): ConfigurationHolder[] {
    const holders = new Map(this.referred);
    for (const peer of this.listRunning()) {
      const {id, peers: address, configurationVersion: version} = peer;
      const isKnown = (holders.get(id)?.version ?? -1) >= version;
      if (peer.isConfigurationServed !== true || isKnown) continue;
      holders.set(id, {id, address, version});
    }
    return [...holders.values()].filter(
      ({id, version}) => version > heldVersion && !this.failedIds.has(id),
    );
  }

  private listZoneIds(): Set<string> {
    const {availabilityZone: zone} = this.self;
    const inZone = this.listRunning().filter(
      ({availabilityZone}) => availabilityZone === zone,
    );
    return new Set(inZone.map(({id}) => id));
  }
}
