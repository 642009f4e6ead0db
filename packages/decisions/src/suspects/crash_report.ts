import type {PositionedPart, SuspectPart} from './choose_condemned.js';

/** What one daemon tells others of a part; ages are in milliseconds. */
export interface CrashReport extends PositionedPart {
  readonly crashes: readonly {
    readonly server: string;
    readonly ageMs: number;
    readonly sentAgeMs: number;
  }[];
  /** Age of the last answer that began; absent if there was none. */
  readonly clearedAgeMs?: number;
}

/** Makes the report of a suspect. */
export function makeCrashReport(
  suspect: SuspectPart,
  nowMs: number,
): CrashReport {
  const {id, position, crashes, clearedAtMs} = suspect;
  return {
    id,
    position,
    crashes: crashes.map(({server, atMs, sentAtMs}) => ({
      server,
      ageMs: Math.round(nowMs - atMs),
      sentAgeMs: Math.round(nowMs - sentAtMs),
    })),
    ...(clearedAtMs === -Infinity
      ? {}
      : {clearedAgeMs: Math.round(nowMs - clearedAtMs)}),
  };
}
