const MAX_SHOWN_NAMES = 4;

/**
 * Returns `{sinceMs}` with the earliest time (ms since the epoch), or `{}` if
 * all times are undefined.
 */
export function makeSinceField(
  times: readonly (number | undefined)[],
): {readonly sinceMs: number} | Record<string, never> {
  const defined = times.filter(time => time !== undefined);
  return defined.length === 0 ? {} : {sinceMs: Math.min(...defined)};
}

/** Formats the first 4 names and the number of the others. */
export function formatNames(names: readonly string[]): string {
  const shown = names.slice(0, MAX_SHOWN_NAMES).join(', ');
  const more = names.length - MAX_SHOWN_NAMES;
  return more > 0 ? `${shown} and ${more} more` : shown;
}
