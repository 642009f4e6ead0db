import {createHash} from 'node:crypto';

/** Longer ids are replaced by a digest, which has fewer characters. */
const MAX_ID_LENGTH = 64;

/**
 * Makes a string of at most 64 characters that stands for an id of any length
 * where it is kept; the same in all processes. Two ids do not get the same one,
 * by chance or on purpose.
 */
export function makeBoundedId(id: string): string {
  if (id.length > MAX_ID_LENGTH) {
    return `sha256:${createHash('sha256').update(id).digest('base64url')}`;
  }
  return id;
}

/**
 * Copies a bounded id that is a part of a text: V8 keeps all of the text for it.
 */
export function makeBoundedCopy(id: string): string {
  const bounded = makeBoundedId(id);
  return bounded === id ? Buffer.from(id).toString() : bounded;
}
