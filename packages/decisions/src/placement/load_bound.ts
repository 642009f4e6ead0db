import type {PlacementRules} from '@greengagecross/common';

/** Smallest fraction of a request that is rounded up. */
const ROUND_UP_SHARE = 0.75;

/**
 * Computes the most requests that one engine may have in flight: a multiple of
 * the mean per engine, including the request that is being placed; 0 without
 * engines.
 *
 * The bound is rounded up only from a fraction of `ROUND_UP_SHARE` on, so that
 * with a slightly outdated total the load stays within one request of the
 * multiple. It is at least the mean rounded up, so that every request can be
 * placed.
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
