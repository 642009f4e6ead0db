import type {SuspectEntry} from '@greengagecross/decisions';
import type {SuspectReport} from '@greengagecross/peers';

/** Converts an entry to a report with an age, as the clocks of peers differ. */
export function toReport(entry: SuspectEntry, nowMs: number): SuspectReport {
  const {fingerprint, state, atMs} = entry;
  return {fingerprint, state, ageMs: Math.max(0, nowMs - atMs)};
}

/** Converts a peer's report to an entry with a time of the local clock. */
export function toEntry(report: SuspectReport, nowMs: number): SuspectEntry {
  const {fingerprint, state, ageMs} = report;
  return {fingerprint, state, atMs: nowMs - ageMs};
}
