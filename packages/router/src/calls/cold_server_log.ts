import {Logger} from '@greengagecross/common';
import type {ColdState} from '@greengagecross/decisions';

/** Maximum number of lines for one update, so that a restart of all servers is cheap. */
const MAX_LINES = 20;
const logger = new Logger('cold');

/** Logs when servers become cold and when they no longer are. */
export class ColdServerLog {
  private reasons = new Map<string, string>();

  /** Logs the changes since the last update; `nowMs` is monotonic. */
  update(cold: readonly ColdState[], members: number, nowMs: number): void {
    const before = this.reasons;
    this.reasons = new Map(cold.map(({id, reason}) => [id, reason]));
    const begun = cold.filter(({id, reason}) => before.get(id) !== reason);
    for (const {id, reason, coldUntilMs} of begun.slice(0, MAX_LINES)) {
      logger.log('A server is cold; it gets a limited rate of requests.', {
        server: id,
        reason,
        remainingMs: Math.round(coldUntilMs - nowMs),
        members,
      });
    }
    const ended = [...before.keys()].filter(id => !this.reasons.has(id));
    for (const server of ended.slice(0, MAX_LINES)) {
      logger.log('A server is no longer cold.', {server});
    }
    const omitted =
      Math.max(0, begun.length - MAX_LINES) +
      Math.max(0, ended.length - MAX_LINES);
    if (omitted === 0) return;
    logger.log('More servers changed between cold and warm.', {
      omitted,
      cold: cold.length,
    });
  }
}
