import {createHash} from 'node:crypto';

/** Longer ids are replaced by a digest, which has fewer characters. */
const MAX_ID_LENGTH = 64;

/**
 * Makes a string of at most 64 characters that stands for an id of any length
 * where it is kept; the same in all processes. Two ids do not get the same one,
 * by chance or on purpose.
 *
 * Short ids are copied: V8 keeps all of a text for a part of it.
 */
export function makeBoundedId(id: string): string {
  if (id.length > MAX_ID_LENGTH) {
    return `sha256:${createHash('sha256').update(id).digest('base64url')}`;
  }
  return Buffer.from(id).toString();
}
