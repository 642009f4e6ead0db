import {Logger, type LogFields} from '@greengagecross/common';
import type {CallOutcome} from './call_answer.js';

const WINDOW_MS = 1000;
/** Lines of one outcome in a window; clients decide how much is refused. */
const MAX_LINES = 100;
const logger = new Logger('calls');

/** Refusals of one outcome in the current window. */
interface RefusalCount {
  lines: number;
  omitted: number;
}

/**
 * Logs refused requests: a line for each, up to a number for each outcome in a
 * second, and the count of the others in one line.
 */
export class RefusalLog {
  private readonly counts = new Map<CallOutcome, RefusalCount>();
  private windowStartMs = -Infinity;

  /**
   * Logs a refusal, or counts it.
   *
   * @param makeFields makes the fields of its line, if it gets one
   */
  record(
    outcome: CallOutcome,
    nowMs: number,
    makeFields: () => LogFields,
  ): void {
    this.update(nowMs);
    const count = this.counts.get(outcome) ?? {lines: 0, omitted: 0};
    this.counts.set(outcome, count);
    if (count.lines >= MAX_LINES) {
      count.omitted += 1;
      return;
    }
    count.lines += 1;
    logger.log('A request was refused.', {outcome, ...makeFields()});
  }

  /** Ends a window that is over, with a line for what was only counted in it. */
  update(nowMs: number): void {
    if (nowMs - this.windowStartMs < WINDOW_MS) return;
    this.windowStartMs = nowMs;
    for (const [outcome, {omitted}] of this.counts) {
      if (omitted === 0) continue;
      logger.log('Further requests were refused.', {outcome, count: omitted});
    }
    this.counts.clear();
  }
}
