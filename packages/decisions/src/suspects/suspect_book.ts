import {SuspectState} from '@greengagecross/common';
import type {SuspectEntry} from './suspect_entry.js';

const DEFAULT_MAX_ENTRIES = 4096;
/** News spends up to this long on its way, so that older news may look newer. */
const NEWS_MARGIN_MS = 1000;
/** What goes first when there is no room. */
const EVICTION_ORDER = [
  SuspectState.CLEARED,
  SuspectState.SUSPECT,
  SuspectState.CONDEMNED,
];

/** Remembers, for a while, the requests that backend servers crashed under. */
export class SuspectBook {
  private readonly entries = new Map<string, SuspectEntry>();

  /** @param keepMs how long an entry is kept after its last confirmation. */
  constructor(
    private readonly keepMs: number,
    private readonly maxEntries = DEFAULT_MAX_ENTRIES,
  ) {}

  /** Tells whether nothing at all is held against any request. */
  isEmpty(): boolean {
    return this.entries.size === 0;
  }

  /** Gets what is held against a request; undefined for nothing. */
  getState(fingerprint: string, nowMs: number): SuspectState | undefined {
    return this.find(fingerprint, nowMs)?.state;
  }

  /** Finds what is held against a request; undefined for nothing. */
  find(fingerprint: string, nowMs: number): SuspectEntry | undefined {
    const entry = this.entries.get(fingerprint);
    if (entry === undefined || !this.isExpired(entry, nowMs)) return entry;
    this.entries.delete(fingerprint);
    return undefined;
  }

  /**
   * Records that a backend server crashed while it ran a request.
   *
   * Only a trial proves guilt: beside it ran no other suspect.
   */
  recordCrash(
    fingerprint: string,
    isTrial: boolean,
    nowMs: number,
  ): SuspectEntry {
    const known = this.find(fingerprint, nowMs);
    const isGuilty = isTrial || known?.state === SuspectState.CONDEMNED;
    const state = isGuilty ? SuspectState.CONDEMNED : SuspectState.SUSPECT;
    return this.put({fingerprint, state, atMs: nowMs});
  }

  /** Clears a suspect that ended whole; gives its entry when it was one. */
  recordWhole(fingerprint: string, nowMs: number): SuspectEntry | undefined {
    const known = this.find(fingerprint, nowMs);
    if (known?.state !== SuspectState.SUSPECT) return undefined;
    const state = SuspectState.CLEARED;
    return this.put({fingerprint, state, atMs: nowMs});
  }

  /**
   * Records that a condemned request was sent again, which prolongs its entry
   * once half of its time is over; gives the entry when it did.
   */
  recordRefused(fingerprint: string, nowMs: number): SuspectEntry | undefined {
    const known = this.find(fingerprint, nowMs);
    if (known?.state !== SuspectState.CONDEMNED) return undefined;
    if (nowMs - known.atMs < this.keepMs / 2) return undefined;
    return this.put({...known, atMs: nowMs});
  }

  /** Takes in what another daemon knows; tells whether it was news. */
  observe(entry: SuspectEntry, nowMs: number): boolean {
    if (nowMs - entry.atMs >= this.keepMs) return false;
    const known = this.find(entry.fingerprint, nowMs);
    if (known !== undefined && !isStronger(entry, known)) return false;
    this.put(entry);
    return true;
  }

  /** Lists what is held now, those confirmed longest ago first. */
  list(nowMs: number): SuspectEntry[] {
    this.removeExpired(nowMs);
    return [...this.entries.values()];
  }

  /** Counts the requests in a state. */
  count(state: SuspectState, nowMs: number): number {
    return this.list(nowMs).filter(entry => entry.state === state).length;
  }

  private put(entry: SuspectEntry): SuspectEntry {
    // The map's order is the order of confirmation.
    this.entries.delete(entry.fingerprint);
    if (this.entries.size >= this.maxEntries) this.removeLeast();
    this.entries.set(entry.fingerprint, entry);
    return entry;
  }

  private removeLeast(): void {
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
    return nowMs - entry.atMs >= this.keepMs;
  }
}

/** Guilt stands until its time is over; else the newer state holds. */
function isStronger(entry: SuspectEntry, known: SuspectEntry): boolean {
  const isNewer = entry.atMs > known.atMs + NEWS_MARGIN_MS;
  if (known.state === SuspectState.CONDEMNED) {
    return entry.state === SuspectState.CONDEMNED && isNewer;
  }
  if (entry.state === SuspectState.CLEARED) return entry.atMs > known.atMs;
  return entry.state === SuspectState.CONDEMNED || isNewer;
}
