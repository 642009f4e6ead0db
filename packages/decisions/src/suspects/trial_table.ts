import type {Trial} from './trial.js';

const MAX_TRIALS = 1024;

/**
 * The running trials: at most one for each suspect (a request) and each backend
 * server. Times are milliseconds since the epoch.
 */
export class TrialTable {
  private readonly trials = new Map<string, Trial>();

  /**
   * Grants a trial unless another one runs for the same suspect or on the same
   * backend server, or the table is full. Returns whether the trial was
   * granted; a granted attempt that asks again is granted again.
   */
  acquire(
    trial: Trial,
    nowMs: number,
    isLive: (daemon: string) => boolean,
  ): boolean {
    this.removeEnded(nowMs, isLive);
    for (const other of this.trials.values()) {
      if (other.attemptId === trial.attemptId) continue;
      if (other.fingerprint === trial.fingerprint) return false;
      if (other.backend === trial.backend) return false;
    }
    if (this.trials.size >= MAX_TRIALS) return false;
    this.trials.set(trial.attemptId, trial);
    return true;
  }

  /** Removes the trial of an attempt that has ended. */
  release(attemptId: string): void {
    this.trials.delete(attemptId);
  }

  /** Lists the granted trials, including those that expired since. */
  list(): Trial[] {
    return [...this.trials.values()];
  }

  /** Removes expired trials, and those whose daemon is not live. */
  private removeEnded(
    nowMs: number,
    isLive: (daemon: string) => boolean,
  ): void {
    for (const trial of this.trials.values()) {
      if (nowMs < trial.untilMs && isLive(trial.holder)) continue;
      this.trials.delete(trial.attemptId);
    }
  }
}
