import {Clock, Effect} from 'effect';

const CHECK_MS = 200;
/** A check that runs more than this late shows a delay of the process. */
const LATE_MS = 150;
/** The process counts as late for this long after a late check. */
const DELAY_RETENTION_MS = 2000;

/**
 * Detects that this process itself runs late, for example because it was
 * suspended, so that its own delay is not mistaken for a missing reply of a
 * peer. Times are in ms since the epoch.
 */
export class ProcessDelayMonitor {
  /** When the next check is due; 0 before the first check is scheduled. */
  private dueAtMs = 0;
  /** When the last late check ran; -Infinity if none did. */
  private lateAtMs = -Infinity;

  /** Checks for delays repeatedly and never returns. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        this.dueAtMs = (yield* Clock.currentTimeMillis) + CHECK_MS;
        yield* Effect.sleep(CHECK_MS);
        const nowMs = yield* Clock.currentTimeMillis;
        if (nowMs - this.dueAtMs > LATE_MS) this.lateAtMs = nowMs;
      }
    });
  }

  /** Returns whether the process runs late or did in the last 2 s. */
  isLate(nowMs: number): boolean {
    if (nowMs - this.dueAtMs > LATE_MS && this.dueAtMs > 0) return true;
    return nowMs - this.lateAtMs < DELAY_RETENTION_MS;
  }
}
