import type {SuspectEntry} from '@greengagecross/decisions';
import type {SuspectReport} from '@greengagecross/peers';

/** Turns an entry into what a peer is told; clocks may differ. */
export function toTold(entry: SuspectEntry, nowMs: number): SuspectReport {
  const {fingerprint, state, atMs} = entry;
  return {fingerprint, state, ageMs: Math.max(0, nowMs - atMs)};
}

/** Turns what a peer told into an entry by the local clock. */
export function toEntry(told: SuspectReport, nowMs: number): SuspectEntry {
  const {fingerprint, state, ageMs} = told;
  return {fingerprint, state, atMs: nowMs - ageMs};
}
