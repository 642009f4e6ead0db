import type {Outcome, RecentOutcome} from '@greengagecross/common';

const MAX_GAP_MS = 60_000;

interface Episode {
  outcome: Outcome;
  reason: string;
  count: number;
  sinceMs: number;
  lastMs: number;
}

/**
 * Outcomes recently reported to callers, grouped by outcome and reason.
 *
 * Each group is an episode that ends after a minute without another such
 * request, so that the start of an episode shows since when a fault lasts.
 */
export class RecentOutcomes {
  private readonly episodes = new Map<string, Episode>();

  /** Counts one ended request. */
  add(outcome: Outcome, reason: string, nowMs: number): void {
    const key = `${outcome} ${reason}`;
    const episode = this.episodes.get(key);
    if (episode === undefined || nowMs - episode.lastMs > MAX_GAP_MS) {
      const fresh = {outcome, reason, count: 1, sinceMs: nowMs, lastMs: nowMs};
      this.episodes.set(key, fresh);
      return;
    }
    episode.count += 1;
    episode.lastMs = nowMs;
  }

  /** Lists the episodes that have not ended. */
  list(nowMs: number): RecentOutcome[] {
    return [...this.episodes.values()]
      .filter(({lastMs}) => nowMs - lastMs <= MAX_GAP_MS)
      .map(episode => ({...episode}));
  }
}
