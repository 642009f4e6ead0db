const SMALLEST_FLEET = 5;

/**
 * Computes how often one daemon asks the platform, so that all of them
 * together ask as often as a fleet of five does.
 */
export function computePollMs(baseMs: number, daemons: number): number {
  return Math.ceil(baseMs * Math.max(1, daemons / SMALLEST_FLEET));
}
