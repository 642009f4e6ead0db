import {randomBytes} from 'node:crypto';

const TIME_DIGITS = 12;

/** Makes a version 7 UUID that bears the given time. */
export function makeIdempotencyKey(nowMs: number): string {
  const time = nowMs.toString(16).padStart(TIME_DIGITS, '0');
  const random = randomBytes(10).toString('hex');
  return [
    time.slice(0, 8),
    time.slice(8),
    `7${random.slice(0, 3)}`,
    `8${random.slice(3, 6)}`,
    random.slice(6, 18),
  ].join('-');
}
