import {computeDigest} from '@greengagecross/platform';
import {KEY_RETENTION_MS, SWEEP_MARGIN_MS} from './idempotency_key.js';
import {parseUuidTime} from './parse_uuid_time.js';

/** Prefix of the row keys of claims; the hour of the idempotency key follows. */
export const CLAIM_PREFIX = 'claim/';

const MS_PER_HOUR = 3_600_000;
const HOUR_DIGITS = 7;

/** Identity of a claim; an idempotency key is scoped to customer and service. */
export interface ClaimName {
  readonly customer: string;
  readonly service: string;
  readonly idempotencyKey: string;
}

/**
 * Makes the row key of a claim: prefix, hour of the idempotency key's time and
 * digest, so that rows sort by age. A key without a time gets hour 0.
 */
export function makeClaimKey(name: ClaimName): string {
  const {customer, service, idempotencyKey} = name;
  const madeAtMs = parseUuidTime(idempotencyKey) ?? 0;
  const hour = Math.floor(madeAtMs / MS_PER_HOUR);
  const parts = [customer, service, idempotencyKey.toLowerCase()];
  const digest = computeDigest(JSON.stringify(parts));
  return `${CLAIM_PREFIX}${formatHour(hour)}/${digest}`;
}

/**
 * Returns whether the row of a claim may be deleted at `nowMs` (milliseconds
 * since the epoch), because no daemon accepts its idempotency key any more.
 */
export function isRowDeletable(rowKey: string, nowMs: number): boolean {
  const start = CLAIM_PREFIX.length;
  const hour = Number(rowKey.slice(start, start + HOUR_DIGITS));
  const hourEndMs = (hour + 1) * MS_PER_HOUR;
  return hourEndMs + KEY_RETENTION_MS + SWEEP_MARGIN_MS < nowMs;
}

function formatHour(hour: number): string {
  return String(hour).padStart(HOUR_DIGITS, '0');
}
