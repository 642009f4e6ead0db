import {Effect} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {
  listSharedParts,
  ServerNotice,
  ServerResult,
  type ServerHealth,
  type ServerNotices,
} from '@greengagecross/decisions';
import type {RouterMetrics} from '../metrics/router_metrics.js';
import type {BackendReplyHead} from '../model/backend_reply_head.js';
import type {BackendServer} from '../model/backend_server.js';
import type {CrashGuard} from '../suspects/crash_guard.js';
import {AttemptFailureKind, type AttemptFailure} from './attempt_failure.js';
import type {CallJob} from './call_job.js';

/**
 * An attempt that the deadline or the client's disconnect cancels before a reply
 * head counts as a failure of its server if it has lasted at least this long.
 */
const MIN_CANCELLED_FAILURE_MS = 700;
/** Failures of an attempt to which the server did reply. */
const REPLY_FAILURES: ReadonlySet<AttemptFailureKind> = new Set([
  AttemptFailureKind.NOT_RUN,
  AttemptFailureKind.INVALID_REPLY,
]);
const logger = new Logger('attempts');

/** How far one attempt has come. */
export interface AttemptProgress {
  /** On the monotonic clock. */
  readonly startedAtMs: number;
  hasHead: boolean;
  /** Whether the server has written an event, so has begun its answer. */
  hasEvent: boolean;
}

/** Records what attempts tell about servers and about requests. */
export class AttemptRecorder {
  constructor(
    private readonly health: ServerHealth,
    private readonly guard: CrashGuard,
    private readonly notices: ServerNotices,
    private readonly metrics: RouterMetrics,
    private readonly onUnreachable: (
      serverId: string,
      attemptStartMs: number,
    ) => void,
    private readonly onReachable: (serverId: string) => void,
  ) {}

  /** Records that a request is being sent to a server. */
  recordSend(serverId: string, nowMs: number): void {
    this.health.recordSend(serverId, nowMs);
  }

  /** Records the head of a reply. */
  recordReply(
    serverId: string,
    head: BackendReplyHead,
    startedAtMs: number,
  ): void {
    const nowMs = readSteadyMs();
    this.guard.recordReply(serverId);
    this.onReachable(serverId);
    const result = head.status >= 500 ? ServerResult.ERROR : ServerResult.OK;
    this.health.recordResult(serverId, result, nowMs);
    if (result === ServerResult.OK) {
      this.health.recordLatency(serverId, nowMs - startedAtMs);
    }
  }

  /** Records what a server says of itself in the head of a reply. */
  recordNotices(
    server: BackendServer,
    {isServerLeaving, pauseMs}: BackendReplyHead,
  ): void {
    if (isServerLeaving && this.notices.recordLeaving(server)) {
      this.metrics.recordNotice(ServerNotice.LEAVING);
      logger.log(
        'A server says that it is leaving; it gets no more requests.',
        {
          server: server.id,
          service: server.service,
        },
      );
    }
    if (pauseMs === undefined) return;
    this.notices.recordPause(server, pauseMs, readSteadyMs());
    this.metrics.recordNotice(ServerNotice.PAUSE);
    logger.log('A server wants no requests for some time.', {
      server: server.id,
      service: server.service,
      pauseMs,
    });
  }

  /** Records that the server at a server's address has another id. */
  recordReplaced(server: BackendServer): void {
    this.onUnreachable(server.id, readSteadyMs());
    if (!this.notices.recordReplaced(server, readSteadyMs())) return;
    this.metrics.recordNotice(ServerNotice.REPLACED);
    logger.log(
      'A server was replaced at its address; it gets no requests for a while.',
      {
        server: server.id,
        service: server.service,
      },
    );
  }

  /** Records an event of a stream; only the first of an attempt counts. */
  recordEvent(job: CallJob, progress: AttemptProgress): void {
    if (progress.hasEvent) return;
    progress.hasEvent = true;
    this.guard.recordAnswer(listSharedParts(job.call.prompt));
  }

  /**
   * Records and logs an attempt that gave no complete reply. If its server may
   * have crashed under it, waits briefly for the answer to that.
   */
  recordFailure(
    job: CallJob,
    server: BackendServer,
    failure: AttemptFailure,
    progress: AttemptProgress,
  ): Effect.Effect<void> {
    return Effect.suspend(() => {
      this.logFailure(job, failure, progress);
      if (REPLY_FAILURES.has(failure.kind)) {
        this.guard.recordReply(server.id);
        this.onReachable(server.id);
      }
      const isCut = failure.kind === AttemptFailureKind.DISCONNECTED;
      if (!isCut || progress.hasEvent) return Effect.void;
      return this.guard.recordCut(job.suspects, server, progress.startedAtMs);
    });
  }

  private logFailure(
    job: CallJob,
    failure: AttemptFailure,
    {startedAtMs, hasEvent}: AttemptProgress,
  ): void {
    const nowMs = readSteadyMs();
    const {serverId, kind} = failure;
    job.trace.mayHaveRun ||= failure.isPossiblyRun();
    this.metrics.recordAttemptFailure(kind, hasEvent);
    this.health.recordResult(serverId, toServerResult(kind), nowMs);
    if (kind === AttemptFailureKind.NOT_SENT) {
      this.onUnreachable(serverId, startedAtMs);
      this.guard.recordDown(serverId);
    }
    logger.log('An attempt failed.', {
      request: job.call.id,
      server: serverId,
      kind,
      afterMs: Math.round(nowMs - startedAtMs),
      hasEvent,
      promptParts: listSharedParts(job.call.prompt).join(','),
      failureShare: Number(this.health.getFailureShare(serverId).toFixed(2)),
      cause: failure.cause()?.message,
      ...failure.reply,
    });
  }

  /** Records an attempt that was cancelled before the head of a reply. */
  recordCancelled(serverId: string, startedAtMs: number): void {
    const nowMs = readSteadyMs();
    if (nowMs - startedAtMs < MIN_CANCELLED_FAILURE_MS) return;
    this.health.recordResult(serverId, ServerResult.SILENT, nowMs);
  }
}

function toServerResult(kind: AttemptFailureKind): ServerResult {
  switch (kind) {
    case AttemptFailureKind.NOT_SENT:
      return ServerResult.UNREACHABLE;
    case AttemptFailureKind.NOT_RUN:
      return ServerResult.SHED;
    case AttemptFailureKind.SILENT:
      return ServerResult.SILENT;
    case AttemptFailureKind.DISCONNECTED:
    case AttemptFailureKind.INVALID_REPLY:
      return ServerResult.INVALID_REPLY;
  }
}
