import type {PositionedPart} from './choose_condemned.js';

/** A cut counts towards a crash that is found within this time. */
const CUT_MEMORY_MS = 1500;

/** An attempt whose connection was cut. */
export interface CutAttempt {
  /** What a crash may be attributed to; see `listSuspects`. */
  readonly suspects: readonly PositionedPart[];
  /** When it was cut and when it was sent, on the monotonic clock. */
  readonly atMs: number;
  readonly sentAtMs: number;
  /** Whether the server was known to be up when the attempt was sent. */
  readonly wasUp: boolean;
}

/**
 * Attempts that were cut, by server, until it is known whether their server has
 * crashed: a cut alone is no crash, the server must be down too. Each `nowMs` is
 * in milliseconds of the monotonic clock.
 */
export class CutAttempts {
  private readonly cutsByServer = new Map<string, CutAttempt[]>();

  /** Adds an attempt that was cut. */
  add(serverId: string, cut: CutAttempt): void {
    const cuts = this.cutsByServer.get(serverId) ?? [];
    const recent = keepRecent(cuts, cut.atMs);
    this.cutsByServer.set(serverId, [...recent, cut]);
  }

  /** Takes the recent cuts of a server that is found to be down. */
  takeRecent(serverId: string, nowMs: number): CutAttempt[] {
    const cuts = this.cutsByServer.get(serverId) ?? [];
    this.cutsByServer.delete(serverId);
    return keepRecent(cuts, nowMs);
  }

  /** Removes the cuts of a server that is found to be up. */
  remove(serverId: string): void {
    this.cutsByServer.delete(serverId);
  }
}

function keepRecent(cuts: readonly CutAttempt[], nowMs: number): CutAttempt[] {
  return cuts.filter(({atMs}) => nowMs - atMs < CUT_MEMORY_MS);
}
