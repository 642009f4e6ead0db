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
 * Outcomes recently reported to callers, grouped into episodes.
 *
 * An episode is a run of requests with the same outcome and reason, each no more
 * than a minute after the previous one. So the start of an episode shows since
 * when a fault lasts. Times are in milliseconds since the epoch.
 */
export class RecentOutcomes {
  private readonly episodes = new Map<string, Episode>();

  /** Counts one ended request. */
  add(outcome: Outcome, reason: string, nowMs: number): void {
    const key = `${outcome} ${reason}`;
    const episode = this.episodes.get(key);
    if (episode === undefined || nowMs - episode.lastMs > MAX_GAP_MS) {
      const started = {
        outcome,
        reason,
        count: 1,
        sinceMs: nowMs,
        lastMs: nowMs,
      };
      this.episodes.set(key, started);
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
