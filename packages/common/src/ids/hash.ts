import xxhash from 'xxhash-wasm';

const hasher = await xxhash();
const UINT32_RANGE = 2 ** 32;

/** Hashes text to 32 bits; the same on every host. */
export function hash32(text: string): number {
  return hasher.h32(text);
}

/** Hashes text to a number in [0, 1); the same on every host. */
export function hashUnit(text: string): number {
  return hasher.h32(text) / UINT32_RANGE;
}
