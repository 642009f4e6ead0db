import {Logger} from '@greengagecross/common';

const logger = new Logger('members');

/** Logs which peers count as stopped by reports of their watchers. */
export class SuspicionLog {
  private suspected: ReadonlySet<string> = new Set();

  /** Logs each change since the last call. */
  update(suspectedIds: readonly string[]): void {
    const before = this.suspected;
    this.suspected = new Set(suspectedIds);
    for (const peer of this.suspected) {
      if (before.has(peer)) continue;
      logger.log(
        'A peer is suspected to have stopped; it left the directory.',
        {
          peer,
        },
      );
    }
    for (const peer of before) {
      if (this.suspected.has(peer)) continue;
      logger.log('A peer is no longer suspected to have stopped.', {peer});
    }
  }
}
