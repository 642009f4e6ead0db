import {computeDigest} from './digest.js';

/** A piece of a document, named by the digest of its bytes. */
export interface Part {
  readonly digest: string;
  readonly body: string;
}

/** A document in parts; the root names the others by their digests. */
export interface PartSet {
  /** Digest of the root part. */
  readonly digest: string;
  readonly parts: readonly Part[];
}

/** Makes the part that holds a value; the same bytes each time. */
export function makePart(value: unknown): Part {
  const body = JSON.stringify(value);
  return {digest: computeDigest(body), body};
}
