import type {Outcome, RecentOutcome} from '@greengagecross/common';

const QUIET_MS = 60_000;

interface Episode {
  outcome: Outcome;
  reason: string;
  count: number;
  sinceMs: number;
  lastMs: number;
}

/**
 * What callers were told lately, by outcome and reason.
 *
 * An episode ends after a minute without another such request, so that it is
 * known since when something goes wrong.
 */
export class RecentOutcomes {
  private readonly episodes = new Map<string, Episode>();

  /** Counts one request that ended. */
  add(outcome: Outcome, reason: string, nowMs: number): void {
    const key = `${outcome} ${reason}`;
    const episode = this.episodes.get(key);
    if (episode === undefined || nowMs - episode.lastMs > QUIET_MS) {
      const fresh = {outcome, reason, count: 1, sinceMs: nowMs, lastMs: nowMs};
      this.episodes.set(key, fresh);
      return;
    }
    episode.count += 1;
    episode.lastMs = nowMs;
  }

  /** Lists the episodes that go on. */
  list(nowMs: number): RecentOutcome[] {
    return [...this.episodes.values()]
      .filter(({lastMs}) => nowMs - lastMs <= QUIET_MS)
      .map(episode => ({...episode}));
  }
}
