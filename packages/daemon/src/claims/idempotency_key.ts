import {parseUuidTime} from './parse_uuid_time.js';

const MS_PER_HOUR = 3_600_000;

/** Age up to which a key is accepted, by the timestamp within the key. */
export const KEY_RETENTION_MS = 24 * MS_PER_HOUR;
/**
 * How long a claim's row is kept at least after its key has expired; must exceed
 * the clock skew between daemons.
 */
export const SWEEP_MARGIN_MS = MS_PER_HOUR;
/** How far a key's timestamp may be ahead of this daemon's clock. */
const MAX_AHEAD_MS = 5 * 60_000;

/** Whether an idempotency key may be claimed, and why not. */
export enum KeyStatus {
  USABLE = 'usable',
  MALFORMED = 'malformed',
  EXPIRED = 'expired',
}

/**
 * Checks whether a customer's key may be claimed at `nowMs`, in milliseconds
 * since the epoch. A key without a timestamp, or with one too far in the future,
 * is malformed.
 */
export function checkIdempotencyKey(key: string, nowMs: number): KeyStatus {
  const madeAtMs = parseUuidTime(key);
  if (madeAtMs === undefined) return KeyStatus.MALFORMED;
  if (madeAtMs > nowMs + MAX_AHEAD_MS) return KeyStatus.MALFORMED;
  if (madeAtMs < nowMs - KEY_RETENTION_MS) return KeyStatus.EXPIRED;
  return KeyStatus.USABLE;
}
