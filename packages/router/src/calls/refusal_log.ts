import {Logger, type LogFields} from '@greengagecross/common';
import type {CallOutcome} from './call_answer.js';

const WINDOW_MS = 1000;
/** Lines of one outcome in a window; clients decide how much is refused. */
const MAX_LINES = 100;
const logger = new Logger('calls');

/** Requests of one outcome in the current window. */
interface RefusalCount {
  lines: number;
  omitted: number;
  /** What happened to these requests, as their lines say it. */
  readonly result: string;
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
    this.add(outcome, nowMs, makeFields, 'refused');
  }

  /**
   * The same for a request that was not received to its end.
   *
   * @param id id of the request
   */
  recordNotReceived(
    outcome: CallOutcome,
    nowMs: number,
    id: string | undefined,
  ): void {
    const makeFields = (): LogFields => ({request: id});
    this.add(outcome, nowMs, makeFields, 'not received to its end');
  }

  /** Ends a window that is over, with a line for what was only counted in it. */
  update(nowMs: number): void {
    if (nowMs - this.windowStartMs < WINDOW_MS) return;
    this.windowStartMs = nowMs;
    for (const [outcome, {omitted, result}] of this.counts) {
      if (omitted === 0) continue;
      logger.log(`Further requests were ${result}.`, {
        outcome,
        count: omitted,
      });
    }
    this.counts.clear();
  }

  private add(
    outcome: CallOutcome,
    nowMs: number,
    makeFields: () => LogFields,
    result: string,
  ): void {
    this.update(nowMs);
    const count = this.counts.get(outcome) ?? {lines: 0, omitted: 0, result};
    this.counts.set(outcome, count);
    if (count.lines >= MAX_LINES) {
      count.omitted += 1;
      return;
    }
    count.lines += 1;
    logger.log(`A request was ${result}.`, {outcome, ...makeFields()});
  }
}
