import {computeDigest} from '@greengagecross/platform';
import {KEY_RETENTION_MS, SWEEP_MARGIN_MS} from './idempotency_key.js';
import {parseUuidTime} from './parse_uuid_time.js';

/** Prefix of every claim's row; rows sort by the hour of their key's time. */
export const CLAIM_PREFIX = 'claim/';

const MS_PER_HOUR = 3_600_000;
const HOUR_DIGITS = 7;

/** What names a claim; each customer has its own keys in each service. */
export interface ClaimName {
  readonly customer: string;
  readonly service: string;
  readonly idempotencyKey: string;
}

/** Makes the row key of a claim. */
export function makeClaimKey(name: ClaimName): string {
  const {customer, service, idempotencyKey} = name;
  const madeAtMs = parseUuidTime(idempotencyKey) ?? 0;
  const hour = Math.floor(madeAtMs / MS_PER_HOUR);
  const parts = [customer, service, idempotencyKey.toLowerCase()];
  const digest = computeDigest(JSON.stringify(parts));
  return `${CLAIM_PREFIX}${formatHour(hour)}/${digest}`;
}

/** Tells whether no daemon honours the key of this row any more. */
export function isClaimExpired(rowKey: string, nowMs: number): boolean {
  const start = CLAIM_PREFIX.length;
  const hour = Number(rowKey.slice(start, start + HOUR_DIGITS));
  const hourEndMs = (hour + 1) * MS_PER_HOUR;
  return hourEndMs + KEY_RETENTION_MS + SWEEP_MARGIN_MS < nowMs;
}

function formatHour(hour: number): string {
  return String(hour).padStart(HOUR_DIGITS, '0');
}
