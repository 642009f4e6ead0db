/**
 * How long an engine counts as warm for a subject after its last prompt
 * there: an engine of 0.7 million tokens keeps a part for over a minute at
 * the usual load.
 */
const WARM_MS = 60_000;
/** Subjects remembered; the longest unused goes first. */
const MAX_SUBJECTS = 50_000;

/** Remembers which engines have read a subject, as far as this daemon knows. */
export class WarmEngines {
  /** By subject, the engines with the time of the last prompt sent there. */
  private readonly subjects = new Map<string, Map<string, number>>();

  /** Records that a prompt of a subject was sent to an engine. */
  record(subject: string, engineId: string, nowMs: number): void {
    const engines = this.subjects.get(subject) ?? new Map<string, number>();
    // The map's order is the order of use.
    this.subjects.delete(subject);
    this.subjects.set(subject, engines);
    engines.set(engineId, nowMs);
    if (this.subjects.size <= MAX_SUBJECTS) return;
    const oldest = this.subjects.keys().next().value;
    if (oldest !== undefined) this.subjects.delete(oldest);
  }

  /** Tells whether an engine is warm for a subject. */
  isWarm(subject: string, engineId: string, nowMs: number): boolean {
    const usedAtMs = this.subjects.get(subject)?.get(engineId);
    return usedAtMs !== undefined && nowMs - usedAtMs < WARM_MS;
  }

  /** Finds the engine where a subject was sent last, of those that count. */
  findLast(
    subject: string,
    isCounted: (engineId: string) => boolean,
    nowMs: number,
  ): string | undefined {
    let last: string | undefined;
    let lastMs = nowMs - WARM_MS;
    for (const [engineId, usedAtMs] of this.subjects.get(subject) ?? []) {
      if (usedAtMs <= lastMs || !isCounted(engineId)) continue;
      last = engineId;
      lastMs = usedAtMs;
    }
    return last;
  }

  /** Forgets an engine that lost its memory, as in a crash. */
  removeEngine(engineId: string): void {
    for (const engines of this.subjects.values()) engines.delete(engineId);
  }
}
