import {Effect, Result} from 'effect';
import {BackendFailure, type BackendError} from '@greengagecross/backend';
import {hash32, Logger, readSteadyMs} from '@greengagecross/common';
import {
  CrashedServers,
  findHighestScore,
  makeHashedIds,
  type CondemnedPart,
  type CrashSuspects,
} from '@greengagecross/decisions';
import type {ChatTexts} from './chat_texts.js';
import {
  RequestGuard,
  type GuardedAttempt,
  type GuardedRequest,
} from './request_guard.js';
import type {TextReports} from './text_reports.js';

/** Time in which a trial of a condemned text has a verdict. */
const TRIAL_MS = 60_000;
const logger = new Logger('suspects');

/**
 * Refuses chats with a message under which engines crash, whatever else they
 * hold. Whole requests are left to the guard behind it, which tells crashes from
 * cut connections.
 */
export class SharedTextGuard extends RequestGuard {
  private readonly crashed = new CrashedServers();
  private readonly trialsAtMs = new Map<string, number>();

  constructor(
    private readonly inner: RequestGuard,
    private readonly texts: ChatTexts,
    private readonly suspects: CrashSuspects,
    private readonly reports: TextReports,
  ) {
    super();
  }

  override isCondemned(request: GuardedRequest): Effect.Effect<boolean> {
    return Effect.flatMap(this.inner.isCondemned(request), isCondemned =>
      Effect.sync(() => isCondemned || this.isTextCondemned(request)),
    );
  }

  override run<A>(
    request: GuardedRequest,
    attempt: GuardedAttempt<A>,
  ): Effect.Effect<Result.Result<A, BackendError> | undefined> {
    return Effect.suspend(() => {
      const sentAtMs = readSteadyMs();
      return Effect.uninterruptibleMask(restore =>
        Effect.tap(restore(this.inner.run(request, attempt)), result => {
          if (result === undefined) return Effect.void;
          const {id} = attempt.server;
          if (Result.isSuccess(result)) {
            this.crashed.recordReply(id, readSteadyMs());
            return this.recordAnswer(request);
          }
          if (result.failure.failure !== BackendFailure.CRASHED) {
            return Effect.void;
          }
          // The server may not be back, so that its listener cut the request.
          if (this.crashed.isDown(id, sentAtMs)) return Effect.void;
          this.crashed.recordCrash(id, readSteadyMs());
          if (request.hasAnswerBegun?.() === true) return Effect.void;
          return this.recordCrash(request, id, sentAtMs);
        }),
      );
    });
  }

  private isTextCondemned(request: GuardedRequest): boolean {
    if (this.suspects.countSuspects() === 0) return false;
    const ids = this.texts.list(request).map(({id}) => id);
    const condemned = this.suspects.findCondemned(ids);
    return condemned !== undefined && !this.startTrial(condemned);
  }

  /** Lets one daemon try a text again once that is due, one request at a time. */
  private startTrial({id, trialAtMs}: CondemnedPart): boolean {
    const nowMs = readSteadyMs();
    if (nowMs < trialAtMs) return false;
    const daemons = makeHashedIds(this.reports.listDaemons());
    if (findHighestScore(hash32(id), daemons) !== this.reports.selfId) {
      return false;
    }
    if (nowMs - (this.trialsAtMs.get(id) ?? -Infinity) < TRIAL_MS) return false;
    this.trialsAtMs.set(id, nowMs);
    logger.log('A chat tries a condemned message again.', {text: id});
    return true;
  }

  private recordAnswer(request: GuardedRequest): Effect.Effect<void> {
    return Effect.suspend(() => {
      if (this.suspects.countSuspects() === 0) return Effect.void;
      const ids = this.texts.list(request).map(({id}) => id);
      const cleared = this.suspects.recordAnswer(ids, readSteadyMs());
      if (cleared.length === 0) return Effect.void;
      for (const id of cleared) this.trialsAtMs.delete(id);
      // The caller need not wait until the others know.
      return Effect.asVoid(Effect.forkDetach(this.reports.send(cleared)));
    });
  }

  private recordCrash(
    request: GuardedRequest,
    server: string,
    sentAtMs: number,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      const crash = {server, atMs: readSteadyMs(), sentAtMs};
      const blamed = this.suspects.recordCrash(this.texts.list(request), crash);
      const condemned = this.suspects.findCondemned(blamed);
      if (condemned !== undefined) {
        logger.log('A message is condemned: engines crash under it.', {
          text: condemned.id,
          engines: condemned.crashes.map(known => known.server).join(','),
          request: request.requestId,
        });
      }
      // Before the caller has its answer, so that its next request finds the
      // other daemons informed.
      return this.reports.send(blamed);
    });
  }
}
