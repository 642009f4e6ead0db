const ORDER_DIGITS = 12;

/** Makes the name of a segment, which is unique to the operation. */
export function makeSegmentName(revision: number, operationId: string): string {
  const order = String(revision).padStart(ORDER_DIGITS, '0');
  return `${order}-${encodeURIComponent(operationId)}`;
}

/** Gets the prefix of a segment's name by which segments sort. */
export function getSegmentOrder(segment: string): string {
  return segment.slice(0, ORDER_DIGITS);
}
