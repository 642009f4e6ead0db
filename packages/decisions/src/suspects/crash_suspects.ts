import {
  chooseCondemned,
  CONDEMNED_CRASHES,
  isSameCrash,
  type CondemnedPart,
  type PositionedPart,
  type ServerCrash,
  type SuspectPart,
} from './choose_condemned.js';
import {makeCrashReport, type CrashReport} from './crash_report.js';

/**
 * A part under which an answer began within this time is not blamed: a server
 * would have crashed under that answer.
 */
const RECENT_ANSWER_MS = 2000;
/** How long reports repeat that a part was cleared, for daemons that missed it. */
const CLEARED_REPORT_MS = 10_000;
/** How long crashes are remembered: longer than a condemnation. */
const MEMORY_MS = 1_200_000;
/** An older report can arrive after a newer one and look newer by this much. */
const MAX_DELIVERY_MS = 20;
const MAX_SUSPECTS = 2000;
const MAX_CRASHES_PER_PART = 16;
const MAX_ANSWERED_PARTS = 5000;

/** The fields that change while a part is a suspect. */
interface Suspect extends SuspectPart {
  crashes: ServerCrash[];
  clearedAtMs: number;
}

/**
 * Attributes crashes of backend servers to the prompt part that caused them. A
 * crash makes suspects of all shared parts of the requests that waited for
 * their first event; an answer that begins clears the parts of its request. A
 * part that the crashes have in common, with no answer in between, is
 * condemned. Crashes that a condemned part explains count against no other.
 *
 * Used by package `router`, with the whole request as the most specific part of
 * each; see `listSuspects`. Each `nowMs` is in milliseconds of the monotonic
 * clock.
 */
export class CrashSuspects {
  private readonly suspects = new Map<string, Suspect>();
  /** When an answer last began, by part; the longest ago first. */
  private readonly answeredAtMs = new Map<string, number>();
  private condemned: ReadonlyMap<string, CondemnedPart> = new Map();

  /**
   * Records that a server crashed while a request waited for its first event.
   *
   * @return the ids of the parts that this crash makes suspects, or more suspect
   */
  recordCrash(parts: readonly PositionedPart[], crash: ServerCrash): string[] {
    const blamed = parts.filter(({id, position}) => {
      const answeredAtMs = this.answeredAtMs.get(id) ?? -Infinity;
      if (crash.atMs - answeredAtMs < RECENT_ANSWER_MS) return false;
      return this.addCrash(this.getSuspect(id, position), crash);
    });
    if (blamed.length > 0) this.updateCondemned(crash.atMs);
    return blamed.map(({id}) => id);
  }

  /**
   * Records that a server began an answer, which clears the request's parts.
   *
   * @return the ids of the parts that were suspects
   */
  recordAnswer(partIds: readonly string[], nowMs: number): string[] {
    for (const id of partIds) this.recordAnswered(id, nowMs);
    if (this.suspects.size === 0) return [];
    const cleared = partIds.filter(id => {
      const suspect = this.suspects.get(id);
      if (suspect === undefined || suspect.crashes.length === 0) return false;
      removeCrashes(suspect, nowMs);
      return true;
    });
    if (cleared.length > 0) this.updateCondemned(nowMs);
    return cleared;
  }

  /** Merges what another daemon reports. */
  merge(reports: readonly CrashReport[], nowMs: number): void {
    for (const {id, position, crashes, clearedAgeMs} of reports) {
      const suspect = this.getSuspect(id, position);
      if (clearedAgeMs !== undefined) {
        removeCrashes(suspect, nowMs - clearedAgeMs);
      }
      for (const {server, ageMs, sentAgeMs} of crashes) {
        if (ageMs >= MEMORY_MS) continue;
        const [atMs, sentAtMs] = [nowMs - ageMs, nowMs - sentAgeMs];
        this.addCrash(suspect, {server, atMs, sentAtMs});
      }
    }
    this.updateCondemned(nowMs);
  }

  /**
   * Finds a condemned part of a prompt that also has the parts with which it is
   * condemned; undefined if there is none.
   */
  findCondemned(partIds: readonly string[]): CondemnedPart | undefined {
    if (this.condemned.size === 0) return undefined;
    let ids: ReadonlySet<string> | undefined;
    for (const id of partIds) {
      const found = this.condemned.get(id);
      if (found === undefined) continue;
      ids ??= new Set(partIds);
      if (found.togetherWith.every(other => ids?.has(other))) return found;
    }
    return undefined;
  }

  /**
   * Finds a condemned part, none of `exceptIds`, under which a server crashed at
   * or after a time; undefined if there is none.
   */
  findExplanation(
    {server, sinceMs}: {readonly server: string; readonly sinceMs: number},
    exceptIds: readonly string[],
  ): CondemnedPart | undefined {
    return this.listCondemned().find(
      ({id, crashes}) =>
        !exceptIds.includes(id) &&
        crashes.some(crash => crash.server === server && crash.atMs >= sinceMs),
    );
  }

  /**
   * Returns whether one more crash may condemn a part, or may be explained by a
   * condemned one. The parts in `exceptIds` don't count.
   */
  hasNearlyCondemned(exceptIds: readonly string[]): boolean {
    return [...this.suspects.values()].some(
      ({id, crashes}) =>
        crashes.length >= CONDEMNED_CRASHES - 1 && !exceptIds.includes(id),
    );
  }

  /** Lists the condemned parts. */
  listCondemned(): CondemnedPart[] {
    return [...this.condemned.values()];
  }

  /** Counts the parts with crashes since their last answer. */
  countSuspects(): number {
    let count = 0;
    for (const {crashes} of this.suspects.values()) {
      if (crashes.length > 0) count += 1;
    }
    return count;
  }

  /** Makes the reports of some parts; unknown ones are omitted. */
  makeReports(partIds: readonly string[], nowMs: number): CrashReport[] {
    return partIds.flatMap(id => {
      const suspect = this.suspects.get(id);
      return suspect === undefined ? [] : [makeCrashReport(suspect, nowMs)];
    });
  }

  /**
   * Makes at most `limit` reports: condemned parts first, then those with the
   * most crashes, of which the last changed come first.
   */
  listReports(limit: number, nowMs: number): CrashReport[] {
    if (this.suspects.size === 0) return [];
    const open = [...this.suspects.values()].filter(
      ({crashes, clearedAtMs}) =>
        crashes.length > 0 || nowMs - clearedAtMs < CLEARED_REPORT_MS,
    );
    const isCondemned = ({id}: Suspect): boolean => this.condemned.has(id);
    return [
      ...open.filter(isCondemned),
      ...open
        .filter(suspect => !isCondemned(suspect))
        .reverse()
        .sort((a, b) => b.crashes.length - a.crashes.length),
    ]
      .slice(0, limit)
      .map(suspect => makeCrashReport(suspect, nowMs));
  }

  private recordAnswered(id: string, nowMs: number): void {
    this.answeredAtMs.delete(id);
    this.answeredAtMs.set(id, nowMs);
    if (this.answeredAtMs.size <= MAX_ANSWERED_PARTS) return;
    const oldest = this.answeredAtMs.keys().next().value;
    if (oldest !== undefined) this.answeredAtMs.delete(oldest);
  }

  private getSuspect(id: string, position: number): Suspect {
    const known = this.suspects.get(id);
    if (known !== undefined) return known;
    const suspect = {id, position, crashes: [], clearedAtMs: -Infinity};
    if (this.suspects.size >= MAX_SUSPECTS) this.removeOldest();
    this.suspects.set(id, suspect);
    return suspect;
  }

  private removeOldest(): void {
    for (const id of this.suspects.keys()) {
      if (this.condemned.has(id)) continue;
      this.suspects.delete(id);
      return;
    }
  }

  /** Adds a crash unless it is known or older than the last answer. */
  private addCrash(suspect: Suspect, crash: ServerCrash): boolean {
    if (crash.atMs <= suspect.clearedAtMs + MAX_DELIVERY_MS) return false;
    const same = suspect.crashes.find(known => isSameCrash(known, crash));
    // Of several waiting requests, the one sent last tells the most.
    if (same !== undefined && same.sentAtMs >= crash.sentAtMs) return false;
    suspect.crashes = suspect.crashes.filter(known => known !== same);
    suspect.crashes.push(
      same === undefined ? crash : {...same, sentAtMs: crash.sentAtMs},
    );
    suspect.crashes.sort((a, b) => a.atMs - b.atMs);
    suspect.crashes = suspect.crashes.slice(-MAX_CRASHES_PER_PART);
    // Insertion at the end keeps the map in order of change.
    this.suspects.delete(suspect.id);
    this.suspects.set(suspect.id, suspect);
    return true;
  }

  private updateCondemned(nowMs: number): void {
    this.removeExpired(nowMs);
    const repeated = [...this.suspects.values()].filter(
      ({crashes}) => crashes.length >= CONDEMNED_CRASHES,
    );
    this.condemned = new Map(
      chooseCondemned(repeated).map(part => [part.id, part] as const),
    );
  }

  private removeExpired(nowMs: number): void {
    for (const {id, crashes, clearedAtMs} of this.suspects.values()) {
      const lastMs = crashes.at(-1)?.atMs;
      const isExpired =
        lastMs === undefined
          ? nowMs - clearedAtMs > CLEARED_REPORT_MS
          : nowMs - lastMs > MEMORY_MS;
      if (isExpired) this.suspects.delete(id);
    }
  }
}

/** Removes the crashes up to an answer, and records the answer. */
function removeCrashes(suspect: Suspect, atMs: number): void {
  suspect.crashes = suspect.crashes.filter(crash => crash.atMs > atMs);
  suspect.clearedAtMs = Math.max(suspect.clearedAtMs, atMs);
}
