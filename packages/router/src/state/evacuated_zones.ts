import {Logger} from '@greengagecross/common';
import {
  compareStoreVersions,
  NO_STORE_VERSION,
  type StoreVersion,
} from './store_version.js';

/**
 * Time for which an evacuation stays in effect that is missing after the store
 * returned from an older copy: the operator writes it again.
 */
const RESTORED_GRACE_MS = 2000;
const logger = new Logger('state');

/** Beginning or end of an evacuation; changes are applied in order. */
export interface EvacuationChange {
  readonly availabilityZone: string;
  readonly isEvacuated: boolean;
}

/** Evacuated availability zones as of a version of the store. */
export interface EvacuatedSet extends StoreVersion {
  readonly zones: readonly string[];
}

/**
 * Availability zones whose backend servers get no requests. Of two sets, the one
 * that was read at the higher version of the store applies; the last one stays in
 * effect while neither the store nor a peer is heard. `nowMs` is a time on the
 * monotonic clock.
 */
export class EvacuatedZones {
  /** Sorted; replaced by a new array when the zones change. */
  private zones: readonly string[] = [];
  private version = NO_STORE_VERSION;
  private isLearned = false;
  private confirmedAtMs = 0;
  /** When each evacuation ends that is missing since the era increased. */
  private readonly graceEndsMs = new Map<string, number>();

  /** Replaces the set by a complete read of the store, unless it is older. */
  setAll(zones: readonly string[], version: StoreVersion, nowMs: number): void {
    this.isLearned = true;
    this.confirmedAtMs = nowMs;
    if (compareStoreVersions(version, this.version) < 0) return;
    this.setZones(zones, version, 'store', nowMs);
  }

  /** Applies changes of the store up to a version, unless the set has them. */
  applyChanges(
    changes: readonly EvacuationChange[],
    version: StoreVersion,
    nowMs: number,
  ): void {
    this.confirmedAtMs = nowMs;
    if (compareStoreVersions(version, this.version) <= 0) return;
    const zones = new Set(this.zones);
    for (const {availabilityZone, isEvacuated} of changes) {
      if (isEvacuated) zones.add(availabilityZone);
      else zones.delete(availabilityZone);
      this.graceEndsMs.delete(availabilityZone);
    }
    this.setZones([...zones], version, 'store', nowMs);
  }

  /** Adopts the set of a peer if it is of a higher version. */
  acceptSet(set: EvacuatedSet, peer: string, nowMs: number): void {
    if (set.revision < 0) return;
    this.isLearned = true;
    if (compareStoreVersions(set, this.version) <= 0) return;
    const {era, revision} = set;
    this.setZones(set.zones, {era, revision}, peer, nowMs);
  }

  /**
   * Records that a peer of an earlier release, which knows no evacuations, is
   * ready: without the store, nothing else can be learned from such peers.
   */
  setLearned(): void {
    this.isLearned = true;
  }

  /** Returns whether the store was read or a peer was heard. */
  hasLearned(): boolean {
    return this.isLearned;
  }

  /** Records that the store, or a peer that reaches it, holds no newer set. */
  recordConfirmed(nowMs: number): void {
    this.confirmedAtMs = nowMs;
  }

  /** Returns whether servers of an availability zone get no requests. */
  has(availabilityZone: string, nowMs: number): boolean {
    return (
      this.zones.includes(availabilityZone) ||
      nowMs < (this.graceEndsMs.get(availabilityZone) ?? -Infinity)
    );
  }

  /** Returns the zones of the store; the same array until they change. */
  listZones(): readonly string[] {
    return this.zones;
  }

  /** Returns the set to send to peers, without evacuations in their grace. */
  getSet(): EvacuatedSet {
    return {zones: this.zones, ...this.version};
  }

  /** Counts the evacuated zones, including those in their grace. */
  count(): number {
    return this.zones.length + this.graceEndsMs.size;
  }

  /** Describes the set for a log line; empty without evacuations. */
  describe(nowMs: number): Record<string, string | number> {
    if (this.count() === 0) return {};
    return {
      evacuated: [...this.zones, ...this.graceEndsMs.keys()].join(','),
      evacuatedAgeMs: Math.round(nowMs - this.confirmedAtMs),
    };
  }

  /** Ends evacuations whose grace has elapsed. */
  removeExpired(nowMs: number): void {
    for (const [zone, endMs] of this.graceEndsMs) {
      if (nowMs < endMs) continue;
      this.graceEndsMs.delete(zone);
      logger.log('An evacuation missing from the restored store has ended.', {
        zone,
        ...this.version,
      });
    }
  }

  private setZones(
    zones: readonly string[],
    version: StoreVersion,
    source: string,
    nowMs: number,
  ): void {
    const sorted = [...new Set(zones)].sort();
    if (version.era > this.version.era) this.startGrace(sorted, nowMs);
    for (const zone of sorted) this.graceEndsMs.delete(zone);
    this.version = version;
    if (sorted.join('/') === this.zones.join('/')) return;
    const before = this.zones;
    this.zones = sorted;
    logger.log('The evacuated availability zones changed.', {
      zones: sorted.join(','),
      before: before.join(','),
      inGrace: [...this.graceEndsMs.keys()].join(','),
      ...version,
      source,
    });
  }

  private startGrace(zones: readonly string[], nowMs: number): void {
    for (const zone of [...this.zones, ...this.graceEndsMs.keys()]) {
      if (zones.includes(zone)) continue;
      this.graceEndsMs.set(zone, nowMs + RESTORED_GRACE_MS);
    }
  }
}
