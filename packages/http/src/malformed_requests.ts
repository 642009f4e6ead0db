import {Logger, readSteadyMs} from '@greengagecross/common';

/** Shortest time between two log lines for one status. */
const MIN_LINE_INTERVAL_MS = 1000;
const logger = new Logger('http');

/** Refusals with one status. */
interface RefusalCount {
  total: number;
  logged: number;
  loggedAtMs: number;
}

/**
 * Counts requests that are refused before their headers have been read, by
 * status. Logs at most one line a second for each status.
 */
export class MalformedRequests {
  private readonly counts = new Map<number, RefusalCount>();

  /** Records a refusal; `cause` is the parser's code or the reason. */
  record(status: number, cause: string): void {
    const count = this.counts.get(status) ?? {
      total: 0,
      logged: 0,
      loggedAtMs: -Infinity,
    };
    this.counts.set(status, count);
    count.total += 1;
    const nowMs = readSteadyMs();
    if (nowMs - count.loggedAtMs < MIN_LINE_INTERVAL_MS) return;
    logger.log('Requests were refused unread.', {
      status,
      cause,
      count: count.total - count.logged,
    });
    count.logged = count.total;
    count.loggedAtMs = nowMs;
  }

  /** Counts the refusals with a status since the start. */
  count(status: number): number {
    return this.counts.get(status)?.total ?? 0;
  }
}

/** Refusals of all listeners of this process. */
export const processMalformedRequests = new MalformedRequests();
