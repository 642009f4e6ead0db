import {computeDigest} from './digest.js';

/** A piece of a document, identified by the SHA-256 digest of its body. */
export interface Part {
  readonly digest: string;
  readonly body: string;
}

/** A document split into parts, linked from the root part by digest. */
export interface PartSet {
  /** Digest of the root part. */
  readonly digest: string;
  readonly parts: readonly Part[];
}

/** Makes a part from a value; the same value gives the same body and digest. */
export function makePart(value: unknown): Part {
  const body = JSON.stringify(value);
  return {digest: computeDigest(body), body};
}
