const SORT_KEY_DIGITS = 12;

/** Makes the name of a segment, which is unique to the operation. */
export function makeSegmentName(revision: number, operationId: string): string {
  const sortKey = String(revision).padStart(SORT_KEY_DIGITS, '0');
  return `${sortKey}-${encodeURIComponent(operationId)}`;
}

/** Returns the prefix of a segment's name by which segments sort. */
export function getSegmentSortKey(segment: string): string {
  return segment.slice(0, SORT_KEY_DIGITS);
}
