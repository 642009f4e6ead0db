import type {PlacementRules} from '@greengagecross/common';

const ROUND_UP_SHARE = 0.75;

/**
 * Computes how many requests one engine may carry: a multiple of the mean,
 * counting the request that is being placed.
 *
 * It is rounded up only from `ROUND_UP_SHARE` of a request on, so that a total
 * which lags a little keeps within one request of the multiple, and never falls
 * below what lets every request be placed.
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
