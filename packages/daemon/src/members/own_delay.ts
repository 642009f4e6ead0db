import {Clock, Effect} from 'effect';

const CHECK_MS = 200;
const LATE_MS = 150;
const REMEMBERED_MS = 2000;

/**
 * Notices that this process itself runs late, so that it does not take its
 * own delay, or a time in which it was stopped, for the silence of others.
 */
export class OwnDelay {
  private dueMs = 0;
  private lateAtMs = -Infinity;

  /** Checks for as long as the daemon runs. */
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

  /** Tells whether the process ran late in the last seconds. */
  isLate(nowMs: number): boolean {
    if (nowMs - this.dueMs > LATE_MS && this.dueMs > 0) return true;
    return nowMs - this.lateAtMs < REMEMBERED_MS;
  }
}
