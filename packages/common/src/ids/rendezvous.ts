import {hash32} from './hash.js';

/**
 * Orders candidates by rendezvous hashing: the first is the key's home, and
 * removing a candidate moves only the keys that it was the home of.
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

/** Finds the first candidate in rendezvous order without sorting the rest. */
export function findRendezvousHome(
  key: string,
  candidates: Iterable<string>,
): string | undefined {
  let home: string | undefined;
  let best = -1;
  for (const id of candidates) {
    const score = hash32(`${key}\u0000${id}`);
    if (score < best) continue;
    if (score === best && home !== undefined && home < id) continue;
    best = score;
    home = id;
  }
  return home;
}
