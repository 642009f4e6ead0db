import {createHash, timingSafeEqual} from 'node:crypto';

/** Returns whether a secret is among the valid secrets, in constant time. */
export function verifySecret(given: string, valid: readonly string[]): boolean {
  const digest = hashSecret(given);
  let isMatch = false;
  for (const secret of valid) {
    isMatch = timingSafeEqual(digest, hashSecret(secret)) || isMatch;
  }
  return isMatch;
}

/** Returns the token of an `Authorization: Bearer` header, else undefined. */
export function parseBearer(header: string | undefined): string | undefined {
  if (header === undefined || !header.startsWith('Bearer ')) return undefined;
  return header.slice('Bearer '.length);
}

function hashSecret(secret: string): Buffer {
  return createHash('sha256').update(secret).digest();
}
