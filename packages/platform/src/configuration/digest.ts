import {createHash} from 'node:crypto';

/** Computes the SHA-256 of bytes, in hexadecimal. */
export function computeDigest(bytes: string | Buffer): string {
  return createHash('sha256').update(bytes).digest('hex');
}
