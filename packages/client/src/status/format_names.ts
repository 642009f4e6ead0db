const MAX_NAMED = 4;

/** Tells the earliest of the times that are known. */
export function toSince(
  times: readonly (number | undefined)[],
): {readonly sinceMs: number} | Record<string, never> {
  const known = times.filter(time => time !== undefined);
  return known.length === 0 ? {} : {sinceMs: Math.min(...known)};
}

/** Formats the first few names. */
export function formatNames(names: readonly string[]): string {
  const shown = names.slice(0, MAX_NAMED).join(', ');
  const more = names.length - MAX_NAMED;
  return more > 0 ? `${shown} and ${more} more` : shown;
}
