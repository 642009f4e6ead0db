import {Effect} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import type {CrashSuspects} from '@greengagecross/decisions';
import type {ChatTexts} from './chat_texts.js';
import type {GuardedRequest} from './request_guard.js';

/** Time in which another daemon reports what it ran on a crashed server. */
const REPORT_WAIT_MS = 1000;
const CHECK_INTERVAL_MS = 25;
const logger = new Logger('suspects');

/**
 * Tells whether a crash during a trial condemns the request on trial. No other
 * suspect ran on that server, but a chat that no daemon knows yet may have: if
 * it holds a message that is condemned, the crash was its own.
 */
export class TrialVerdicts {
  constructor(
    private readonly suspects: CrashSuspects,
    private readonly texts: ChatTexts,
  ) {}

  /**
   * Returns whether the request on trial is to blame. Waits for the reports of
   * other daemons only while one more crash may condemn a message that the
   * request does not hold.
   *
   * @param sentAtMs when the trial began, on the monotonic clock
   */
  isToBlame(
    request: GuardedRequest,
    serverId: string,
    sentAtMs: number,
  ): Effect.Effect<boolean> {
    const endMs = readSteadyMs() + REPORT_WAIT_MS;
    return Effect.gen({self: this}, function* () {
      const own = this.texts.list(request).map(({id}) => id);
      for (;;) {
        const crash = {server: serverId, sinceMs: sentAtMs};
        const other = this.suspects.findExplanation(crash, own);
        if (other !== undefined) {
          logger.log(
            'A trial has no verdict: another chat crashed the server.',
            {
              backend: serverId,
              request: request.requestId,
              text: other.id,
            },
          );
          return false;
        }
        const isOpen = this.suspects.hasNearlyCondemned(own);
        if (!isOpen || readSteadyMs() >= endMs) return true;
        yield* Effect.sleep(CHECK_INTERVAL_MS);
      }
    });
  }
}
