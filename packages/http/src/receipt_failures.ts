import {Logger} from '@greengagecross/common';

/** Shortest time between two lines about one code. */
const MIN_LINE_INTERVAL_MS = 1000;
const logger = new Logger('http');

/** What was done about a request that could not be received. */
export enum ReceiptAction {
  /** The client was told by a 4xx reply. */
  ANSWERED = 'answered',
  /** The connection was closed without a reply. */
  CLOSED = 'closed',
  /** Nothing, as an earlier reply is still being sent. */
  REPLYING = 'replying',
}

interface CodeCount {
  total: number;
  unlogged: number;
  loggedAtMs: number;
}

/**
 * Counts requests that could not be received, by the code of the error, and logs
 * them in a bounded number of lines.
 */
export class ReceiptFailures {
  private readonly counts = new Map<string, CodeCount>();

  /**
   * Records a request that could not be received.
   *
   * @param code Node's code of the error
   * @param nowMs time of the monotonic clock, in milliseconds
   */
  record(
    code: string,
    action: ReceiptAction,
    listener: string,
    nowMs: number,
  ): void {
    const count = this.counts.get(code) ?? {
      total: 0,
      unlogged: 0,
      loggedAtMs: -Infinity,
    };
    this.counts.set(code, count);
    count.total += 1;
    count.unlogged += 1;
    if (nowMs - count.loggedAtMs < MIN_LINE_INTERVAL_MS) return;
    logger.log('Requests could not be received.', {
      code,
      action,
      listener,
      count: count.unlogged,
    });
    count.unlogged = 0;
    count.loggedAtMs = nowMs;
  }

  /** Lists the number of failures by code, since the start. */
  listTotals(): ReadonlyMap<string, number> {
    return new Map([...this.counts].map(([code, {total}]) => [code, total]));
  }
}

/** Failures of all listeners of this process. */
export const processReceiptFailures = new ReceiptFailures();
