/** Limits for old revisions and for parts outside packs. */
export interface Retention {
  /**
   * Number of revisions that can be read or restored, including the current
   * one.
   */
  readonly retainedRevisions: number;
  /** Maximum number of unpacked parts before a new segment is packed. */
  readonly maxUnpackedParts: number;
}

/**
 * 3,000 revisions cover two days at 1,500 changes a day.
 *
 * With 30,000 customers, the packs of these revisions take 2 GB.
 */
export const DEFAULT_RETENTION: Retention = {
  retainedRevisions: 3000,
  maxUnpackedParts: 256,
};

/** Computes the oldest retained revision; at least 1. */
export function computeOldestRetained(
  currentRevision: number,
  retention: Retention,
): number {
  return Math.max(1, currentRevision - retention.retainedRevisions + 1);
}
