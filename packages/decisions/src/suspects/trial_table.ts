import type {Trial} from './trial.js';

const MAX_TRIALS = 1024;

/** The trials that run now: one for each suspect and each backend server. */
export class TrialTable {
  private readonly trials = new Map<string, Trial>();

  /** Takes a trial in unless another stands against it; may be repeated. */
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

  /** Removes a trial that has ended. */
  release(attemptId: string): void {
    this.trials.delete(attemptId);
  }

  /** Lists the trials that run. */
  list(): Trial[] {
    return [...this.trials.values()];
  }

  /** A daemon that is gone ends no trial by itself. */
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
