import {Clock, Effect} from 'effect';

const CHECK_MS = 200;
/** A check that runs this late shows a delay of the process. */
const LATE_MS = 150;
/** The process counts as late for this long after a delay. */
const DELAY_RETENTION_MS = 2000;

/**
 * Detects that this process itself runs late or was stopped, so that its own
 * delay is not mistaken for a missing reply of a peer.
 */
export class ProcessDelayMonitor {
  private dueMs = 0;
  private lateAtMs = -Infinity;

  /** Checks for delays repeatedly and never returns. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        this.dueMs = (yield* Clock.currentTimeMillis) + CHECK_MS;
        yield* Effect.sleep(CHECK_MS);
        const nowMs = yield* Clock.currentTimeMillis;
        if (nowMs - this.dueMs > LATE_MS) this.lateAtMs = nowMs;
      }
    });
  }

  /** Tells whether the process runs late or did in the last 2 s. */
  isLate(nowMs: number): boolean {
    if (nowMs - this.dueMs > LATE_MS && this.dueMs > 0) return true;
    return nowMs - this.lateAtMs < DELAY_RETENTION_MS;
  }
}
