import {Effect, Schema} from 'effect';
import {readSteadyMs} from '@greengagecross/common';
import type {CrashReport, CrashSuspects} from '@greengagecross/decisions';
import {
  MAX_TEXTS_PER_CALL,
  PeerMethod,
  type PeerRpc,
} from '@greengagecross/peers';
import type {SuspectRecipients} from './suspect_recipients.js';

/** Exchanges what daemons know of messages under which engines crash. */
export class TextReports {
  constructor(
    readonly selfId: string,
    private readonly suspects: CrashSuspects,
    private readonly recipients: SuspectRecipients,
    private readonly peers: PeerRpc,
  ) {}

  /** Lists the ids of this daemon and of those with current heartbeats. */
  listDaemons(): string[] {
    const others = this.recipients
      .list()
      .filter(({isHeartbeatCurrent}) => isHeartbeatCurrent);
    return [this.selfId, ...others.map(({id}) => id)];
  }

  /**
   * Sends the reports of some messages to every peer; ends when each has
   * confirmed them or did not answer in time. A peer that missed them fetches
   * them with its suspects, every minute and after a pause.
   */
  send(ids: readonly string[]): Effect.Effect<void> {
    return Effect.suspend(() => {
      const texts = this.suspects.makeReports(ids, readSteadyMs());
      if (texts.length === 0) return Effect.void;
      return Effect.forEach(
        this.recipients.list(),
        ({controlAddress, isHeartbeatCurrent}) =>
          this.peers
            .send(
              controlAddress,
              PeerMethod.SEND_SUSPECTS,
              {suspects: [], texts: texts.slice(0, MAX_TEXTS_PER_CALL)},
              Schema.Unknown,
            )
            .pipe(
              Effect.retry({times: isHeartbeatCurrent ? 1 : 0}),
              Effect.ignore,
            ),
        {concurrency: 'unbounded', discard: true},
      );
    });
  }

  /** Merges the reports of a peer. */
  merge(texts: readonly CrashReport[] | undefined): void {
    if (texts === undefined || texts.length === 0) return;
    this.suspects.merge(texts, readSteadyMs());
  }

  /** Lists the reports for a peer that may have missed some. */
  list(): CrashReport[] {
    return this.suspects.listReports(MAX_TEXTS_PER_CALL, readSteadyMs());
  }
}
