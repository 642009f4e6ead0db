import {xxHash32} from 'js-xxhash';

const SEED = 0;
const UINT32_RANGE = 2 ** 32;

/** Hashes text to an unsigned 32-bit integer, equal on every host. */
export function hash32(text: string): number {
  return xxHash32(text, SEED);
}

/** Hashes text to a number in [0, 1), equal on every host. */
export function hashUnit(text: string): number {
  return xxHash32(text, SEED) / UINT32_RANGE;
}
