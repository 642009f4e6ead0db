/**
 * Reads the monotonic clock, for durations and ages on one host.
 *
 * @return milliseconds since the process started
 */
export function readSteadyMs(): number {
  return performance.now();
}
