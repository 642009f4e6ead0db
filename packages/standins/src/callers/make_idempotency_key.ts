import {randomBytes} from 'node:crypto';

const TIME_DIGITS = 12;

/** Makes a random UUID of version 7 with a Unix time in ms as timestamp. */
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
