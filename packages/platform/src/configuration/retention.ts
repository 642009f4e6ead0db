/** What is kept of old revisions, and how parts are packed. */
export interface Retention {
  /** Revisions that can be read and gone back to, the current one included. */
  readonly keptRevisions: number;
  /** Parts written singly before all are packed into a new segment. */
  readonly maxLooseParts: number;
}

/** Two days of 1,500 changes; the packs of 30,000 customers take 2 GB. */
export const DEFAULT_RETENTION: Retention = {
  keptRevisions: 3000,
  maxLooseParts: 256,
};

/** Computes the oldest revision that is kept beside the current one. */
export function computeOldestKept(
  currentRevision: number,
  retention: Retention,
): number {
  return Math.max(1, currentRevision - retention.keptRevisions + 1);
}
