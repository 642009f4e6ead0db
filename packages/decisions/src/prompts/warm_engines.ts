/**
 * How long an engine counts as warm for a subject (still caches it) after the
 * subject's last prompt on the engine. An engine with a cache of 0.7 million
 * tokens keeps a prompt part for over a minute at the usual load.
 */
const WARM_MS = 60_000;
/** Most subjects that are tracked; the least recently used is evicted. */
const MAX_SUBJECTS = 50_000;

/** Tracks which engines are warm for a subject, by this daemon's prompts. */
export class WarmEngines {
  /**
   * By subject and engine, the time of the last prompt sent, in milliseconds
   * since the epoch.
   */
  private readonly subjects = new Map<string, Map<string, number>>();

  /** Records that a prompt of a subject was sent to an engine. */
  record(subject: string, engineId: string, nowMs: number): void {
    const engines = this.subjects.get(subject) ?? new Map<string, number>();
    // Reinserted as the last entry: the map is in order of last use.
    this.subjects.delete(subject);
    this.subjects.set(subject, engines);
    engines.set(engineId, nowMs);
    if (this.subjects.size <= MAX_SUBJECTS) return;
    const oldest = this.subjects.keys().next().value;
    if (oldest !== undefined) this.subjects.delete(oldest);
  }

  /** Returns whether an engine is warm for a subject. */
  isWarm(subject: string, engineId: string, nowMs: number): boolean {
    const usedAtMs = this.subjects.get(subject)?.get(engineId);
    return usedAtMs !== undefined && nowMs - usedAtMs < WARM_MS;
  }

  /**
   * Finds the warm engine that a subject was last sent to, among eligible
   * engines; undefined if there is none.
   */
  findLastUsed(
    subject: string,
    isEligible: (engineId: string) => boolean,
    nowMs: number,
  ): string | undefined {
    let last: string | undefined;
    let lastMs = nowMs - WARM_MS;
    for (const [engineId, usedAtMs] of this.subjects.get(subject) ?? []) {
      if (usedAtMs <= lastMs || !isEligible(engineId)) continue;
      last = engineId;
      lastMs = usedAtMs;
    }
    return last;
  }

  /** Records that an engine lost its cache: removes it from all subjects. */
  recordCacheLost(engineId: string): void {
    for (const engines of this.subjects.values()) engines.delete(engineId);
  }
}
