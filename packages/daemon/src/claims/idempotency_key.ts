import {parseUuidTime} from './parse_uuid_time.js';

const MS_PER_HOUR = 3_600_000;

/** Age up to which a key is honoured, by the time that it bears. */
export const KEY_RETENTION_MS = 24 * MS_PER_HOUR;
/** How long a row outlives its key; more than daemons' clocks differ. */
export const SWEEP_MARGIN_MS = MS_PER_HOUR;
/** How far ahead of this daemon's clock a key's time may be. */
const MAX_AHEAD_MS = 5 * 60_000;

/** Whether a key may be claimed now. */
export enum KeyStanding {
  USABLE = 'usable',
  MALFORMED = 'malformed',
  EXPIRED = 'expired',
}

/** Tells whether a customer's key may be claimed at this time. */
export function checkIdempotencyKey(key: string, nowMs: number): KeyStanding {
  const madeAtMs = parseUuidTime(key);
  if (madeAtMs === undefined) return KeyStanding.MALFORMED;
  if (madeAtMs > nowMs + MAX_AHEAD_MS) return KeyStanding.MALFORMED;
  if (madeAtMs < nowMs - KEY_RETENTION_MS) return KeyStanding.EXPIRED;
  return KeyStanding.USABLE;
}
