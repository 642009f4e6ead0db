import {hash32} from './hash.js';

/**
 * Lists candidates in the order of rendezvous hashing for a key.
 *
 * The first candidate is the preferred one of the key. Removing a candidate
 * reassigns only the keys that preferred it.
 */
export function listByRendezvous(
  key: string,
  candidates: readonly string[],
): string[] {
  return candidates
    .map(id => ({id, score: hash32(`${key}\u0000${id}`)}))
    .sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1))
    .map(entry => entry.id);
}

/**
 * Finds the first candidate in rendezvous order without sorting the others;
 * undefined if there are no candidates.
 */
export function findFirstByRendezvous(
  key: string,
  candidates: Iterable<string>,
): string | undefined {
  let bestId: string | undefined;
  let bestScore = -1;
  for (const id of candidates) {
    const score = hash32(`${key}\u0000${id}`);
    if (score < bestScore) continue;
    if (score === bestScore && bestId !== undefined && bestId < id) continue;
    bestScore = score;
    bestId = id;
  }
  return bestId;
}
