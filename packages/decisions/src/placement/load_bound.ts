import type {PlacementRules} from '@greengagecross/common';

/** The bound is rounded up if its fraction is at least this, else down. */
const ROUND_UP_SHARE = 0.75;

/**
 * Computes the most requests that one engine may have in flight:
 * `maxLoadMultiple` x the mean per engine, including the request that is being
 * placed; 0 without engines. Used for chats; unrelated to the load bound of
 * `PromptPlacement`.
 *
 * The bound is rounded down, or up if its fraction is at least
 * `ROUND_UP_SHARE`. An outdated total then raises the load by less than one
 * request above `maxLoadMultiple` x the mean. The bound is at least the mean
 * rounded up, so that every request can be placed.
 */
export function computeLoadBound(
  totalInFlight: number,
  engineCount: number,
  rules: PlacementRules,
): number {
  if (engineCount === 0) return 0;
  const mean = (totalInFlight + 1) / engineCount;
  return Math.max(
    Math.ceil(mean),
    Math.floor(mean * rules.maxLoadMultiple + 1 - ROUND_UP_SHARE),
  );
}
