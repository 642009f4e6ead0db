import {createHash, randomBytes, timingSafeEqual} from 'node:crypto';
import type {KeyHash} from './configuration.js';

const SALT_BYTES = 16;

/** Hashes a customer's key with a new random salt. */
export function hashCustomerKey(key: string): KeyHash {
  const salt = randomBytes(SALT_BYTES).toString('base64url');
  return {salt, hash: hashWithSalt(key, salt).toString('base64url')};
}

/** Returns whether a key matches any hash; each is compared in constant time. */
export function verifyCustomerKey(
  key: string,
  keyHashes: readonly KeyHash[],
): boolean {
  let isMatch = false;
  for (const {salt, hash} of keyHashes) {
    const expected = Buffer.from(hash, 'base64url');
    const given = hashWithSalt(key, salt);
    if (expected.length !== given.length) continue;
    isMatch = timingSafeEqual(expected, given) || isMatch;
  }
  return isMatch;
}

function hashWithSalt(key: string, salt: string): Buffer {
  return createHash('sha256')
    .update(salt)
    .update('\u0000')
    .update(key)
    .digest();
}
