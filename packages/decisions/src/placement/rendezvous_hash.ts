import {hash32} from '@greengagecross/common';

const FIRST_MULTIPLIER = 0x85ebca6b;
const SECOND_MULTIPLIER = 0xc2b2ae35;

/** An id with its hash, computed once so that scores need no text. */
export interface HashedId {
  readonly id: string;
  readonly hash: number;
}

/** Makes hashed ids. */
export function makeHashedIds(ids: Iterable<string>): HashedId[] {
  return Array.from(ids, id => ({id, hash: hash32(id)}));
}

/** Computes the rendezvous score of two hashes; the same on every host. */
export function computeScore(key: number, candidate: number): number {
  let mixed = key ^ Math.imul(candidate, FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 16), FIRST_MULTIPLIER);
  mixed = Math.imul(mixed ^ (mixed >>> 13), SECOND_MULTIPLIER);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Finds the candidate of highest score; the lower id wins a tie. */
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
