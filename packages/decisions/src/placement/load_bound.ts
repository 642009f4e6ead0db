/**
 * Computes how many requests one engine may carry: a multiple of the mean,
 * counting the request that is being placed, rounded up.
 */
export function computeLoadBound(
  totalInFlight: number,
  engineCount: number,
  maxLoadMultiple: number,
): number {
  if (engineCount === 0) return 0;
  const mean = (totalInFlight + 1) / engineCount;
  return Math.ceil(mean * maxLoadMultiple);
}
