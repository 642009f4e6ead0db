/** Maximum number of newer versions whose first advertisement is kept. */
const MAX_VERSIONS = 64;

/**
 * Versions of the configuration that running peers advertise and that are newer
 * than the active one. Tells how long this daemon has been behind. Each `nowMs`
 * is a time on the monotonic clock.
 */
export class AdvertisedVersions {
  /** When each newer version was first advertised, in order of that time. */
  private readonly heardAtMs = new Map<number, number>();
  private activeVersion = -1;
  private highest = -1;

  /** Records a version that a running peer advertises. */
  record(version: number, nowMs: number): void {
    if (version <= this.activeVersion) return;
    this.highest = Math.max(this.highest, version);
    if (this.heardAtMs.size >= MAX_VERSIONS) return;
    if (!this.heardAtMs.has(version)) this.heardAtMs.set(version, nowMs);
  }

  /** Discards versions that no running peer advertises any more. */
  keepAdvertised(versions: readonly number[], nowMs: number): void {
    this.highest = -1;
    for (const version of versions) this.record(version, nowMs);
    this.removeAll(version => version > this.highest);
  }

  /** Records the active version. */
  setActive(version: number): void {
    this.activeVersion = version;
    this.removeAll(heard => heard <= version);
  }

  /** Returns whether a running peer advertises a newer version. */
  isBehind(): boolean {
    return this.highest > this.activeVersion;
  }

  /** Returns the highest newer version; undefined if there is none. */
  getNewer(): number | undefined {
    return this.isBehind() ? this.highest : undefined;
  }

  /**
   * Computes the time since a newer version was first advertised, in
   * milliseconds; 0 if this daemon is not behind.
   */
  computeLagMs(nowMs: number): number {
    if (!this.isBehind()) return 0;
    const [sinceMs = nowMs] = this.heardAtMs.values();
    return Math.round(nowMs - sinceMs);
  }

  private removeAll(isRemoved: (version: number) => boolean): void {
    for (const version of this.heardAtMs.keys()) {
      if (isRemoved(version)) this.heardAtMs.delete(version);
    }
  }
}
