import {SuspectState} from '@greengagecross/common';
import type {SuspectEntry} from './suspect_entry.js';

const DEFAULT_MAX_ENTRIES = 4096;
/**
 * An update carries its entry's age without the time in transit, which is at
 * most this. An older entry may therefore look newer by as much.
 */
const MAX_UPDATE_DELAY_MS = 1000;
/** Which states are evicted first when the registry is full. */
const EVICTION_ORDER = [
  SuspectState.CLEARED,
  SuspectState.SUSPECT,
  SuspectState.CONDEMNED,
];

/**
 * Registry of the requests that were in flight when a backend server crashed,
 * kept for a limited time. Times are milliseconds since the epoch.
 *
 * A crash makes such a request a suspect (a request; in members/ a suspect is a
 * daemon), which then runs only as a trial: with no other suspect on the same
 * server. One crash in its trial condemns the request; a completed run clears
 * it. Used by package `daemon`. In package `router` three crashes condemn; see
 * `CrashSuspects`.
 */
export class SuspectRegistry {
  private readonly entries = new Map<string, SuspectEntry>();

  /**
   * @param retentionMs time that an entry is kept after its last confirmation:
   *     a crash, a completion, a resend or an update
   */
  constructor(
    private readonly retentionMs: number,
    private readonly maxEntries = DEFAULT_MAX_ENTRIES,
  ) {}

  /** Returns whether there are no entries at all, not even expired ones. */
  isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Returns the state of a request; undefined without a current entry. */
  getState(fingerprint: string, nowMs: number): SuspectState | undefined {
    return this.find(fingerprint, nowMs)?.state;
  }

  /** Finds the entry of a request; removes it, giving undefined, if expired. */
  find(fingerprint: string, nowMs: number): SuspectEntry | undefined {
    const entry = this.entries.get(fingerprint);
    if (entry === undefined || !this.isExpired(entry, nowMs)) return entry;
    this.entries.delete(fingerprint);
    return undefined;
  }

  /**
   * Records that a backend server crashed while it ran a request.
   *
   * Condemns the request only if it is to blame, which a trial shows: as no
   * other suspect ran on that server, the crash is attributed to this request.
   * Returns the new entry.
   */
  recordCrash(
    fingerprint: string,
    isToBlame: boolean,
    nowMs: number,
  ): SuspectEntry {
    const known = this.find(fingerprint, nowMs);
    const isCondemned = isToBlame || known?.state === SuspectState.CONDEMNED;
    const state = isCondemned ? SuspectState.CONDEMNED : SuspectState.SUSPECT;
    return this.put({fingerprint, state, atMs: nowMs});
  }

  /**
   * Clears a suspect that completed; returns the new entry, undefined when the
   * request was no suspect.
   */
  recordCompleted(
    fingerprint: string,
    nowMs: number,
  ): SuspectEntry | undefined {
    const known = this.find(fingerprint, nowMs);
    if (known?.state !== SuspectState.SUSPECT) return undefined;
    const state = SuspectState.CLEARED;
    return this.put({fingerprint, state, atMs: nowMs});
  }

  /**
   * Records that a condemned request was sent again and refused. Renews the
   * entry once half of its retention has elapsed; returns the renewed entry,
   * undefined when none was renewed.
   */
  recordRefused(fingerprint: string, nowMs: number): SuspectEntry | undefined {
    const known = this.find(fingerprint, nowMs);
    if (known?.state !== SuspectState.CONDEMNED) return undefined;
    if (nowMs - known.atMs < this.retentionMs / 2) return undefined;
    return this.put({...known, atMs: nowMs});
  }

  /**
   * Merges an entry of another daemon; returns whether the registry changed.
   */
  merge(entry: SuspectEntry, nowMs: number): boolean {
    if (nowMs - entry.atMs >= this.retentionMs) return false;
    const known = this.find(entry.fingerprint, nowMs);
    if (known !== undefined && !isSuperseding(entry, known)) return false;
    this.put(entry);
    return true;
  }

  /** Lists the current entries, the longest unconfirmed first. */
  list(nowMs: number): SuspectEntry[] {
    this.removeExpired(nowMs);
    return [...this.entries.values()];
  }

  /** Counts the current entries in a state. */
  count(state: SuspectState, nowMs: number): number {
    return this.list(nowMs).filter(entry => entry.state === state).length;
  }

  private put(entry: SuspectEntry): SuspectEntry {
    // Insertion at the end keeps the map in order of confirmation.
    this.entries.delete(entry.fingerprint);
    if (this.entries.size >= this.maxEntries) this.removeLowestPriority();
    this.entries.set(entry.fingerprint, entry);
    return entry;
  }

  private removeLowestPriority(): void {
    const all = [...this.entries.values()];
    for (const state of EVICTION_ORDER) {
      const oldest = all.find(entry => entry.state === state);
      if (oldest === undefined) continue;
      this.entries.delete(oldest.fingerprint);
      return;
    }
  }

  private removeExpired(nowMs: number): void {
    for (const entry of this.entries.values()) {
      if (this.isExpired(entry, nowMs)) this.entries.delete(entry.fingerprint);
    }
  }

  private isExpired(entry: SuspectEntry, nowMs: number): boolean {
    return nowMs - entry.atMs >= this.retentionMs;
  }
}

/**
 * Returns whether an entry replaces the known entry. A condemned request stays
 * condemned until its entry expires: only a newer condemned entry replaces it.
 * Any other entry is replaced by a condemned entry, by a newer cleared entry or
 * by a newer suspect entry. Newer means by more than `MAX_UPDATE_DELAY_MS`; only
 * a cleared entry needs no such margin.
 */
function isSuperseding(entry: SuspectEntry, known: SuspectEntry): boolean {
  const isNewer = entry.atMs > known.atMs + MAX_UPDATE_DELAY_MS;
  if (known.state === SuspectState.CONDEMNED) {
    return entry.state === SuspectState.CONDEMNED && isNewer;
  }
  if (entry.state === SuspectState.CLEARED) return entry.atMs > known.atMs;
  return entry.state === SuspectState.CONDEMNED || isNewer;
}
