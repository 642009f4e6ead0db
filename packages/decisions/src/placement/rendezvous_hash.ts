import {hash32} from '@greengagecross/common';

/** Constants of the 32-bit finalizer of MurmurHash3. */
const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;

/** An id with its hash, which is computed once and then used for all scores. */
export interface HashedId {
  readonly id: string;
  readonly hash: number;
}

/** Hashes ids, in the order given. */
export function makeHashedIds(ids: Iterable<string>): HashedId[] {
  return Array.from(ids, id => ({id, hash: hash32(id)}));
}

/**
 * Computes the rendezvous score of two hashes, an unsigned 32-bit integer that
 * is the same on every host.
 */
export function computeScore(key: number, candidate: number): number {
  let mixed = key ^ Math.imul(candidate, FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/**
 * Finds the id of the candidate with the highest score; the lower id wins a
 * tie. Undefined without candidates.
 */
export function findHighestScore(
  key: number,
  candidates: readonly HashedId[],
): string | undefined {
  let found: HashedId | undefined;
  let best = -1;
  for (const candidate of candidates) {
    const score = computeScore(key, candidate.hash);
    if (score < best) continue;
    if (score === best && found !== undefined && found.id < candidate.id) {
      continue;
    }
    best = score;
    found = candidate;
  }
  return found?.id;
}
