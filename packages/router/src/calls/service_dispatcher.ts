import {Effect, Result} from 'effect';
import {readBody} from '@greengagecross/http';
import {CallKind} from '../model/call_kind.js';
import {AttemptFailure, AttemptFailureKind} from './attempt_failure.js';
import type {AttemptReply, BackendAttempts} from './backend_attempts.js';
import {CallOutcome, type CallAnswer} from './call_answer.js';
import type {CallJob} from './call_job.js';
import {
  MAX_TRIED_SERVERS,
  MAX_INACTIVITY_TIMEOUT_MS,
  RETRY_AFTER_MS,
} from './dispatch_limits.js';
import type {FleetRetries} from './fleet_retries.js';
import type {LocalAnswers} from './local_answers.js';
import type {ServerChooser} from './server_chooser.js';

/** Maximum size of an answer, which is buffered before it is forwarded. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;
/**
 * Inactivity timeout of an idempotent request before it is sent to another
 * server, as a multiple of the latency objective of the route.
 */
const RETRYABLE_TIMEOUT_FACTOR = 3;

/** Dispatches requests of services that answer without a stream. */
export class ServiceDispatcher {
  constructor(
    private readonly chooser: ServerChooser,
    private readonly attempts: BackendAttempts,
    private readonly retries: FleetRetries,
    private readonly answers: LocalAnswers,
  ) {}

  /**
   * Sends a request to servers in turn until one answers without a 5xx status.
   *
   * Stops when the route's attempts, the retry budget or the servers are
   * exhausted, or when a request that is not idempotent may have been executed.
   */
  dispatch(job: CallJob): Effect.Effect<CallAnswer> {
    return Effect.gen({self: this}, function* () {
      const tried = new Set<string>();
      const isSafe = job.route.kind === CallKind.SAFE;
      let possibleRuns = 0;
      let errorAnswer: CallAnswer | undefined;
      this.retries.recordFirstTry(job.service);
      while (
        possibleRuns < job.route.maxAttempts &&
        tried.size < MAX_TRIED_SERVERS
      ) {
        const choice = this.chooser.choose(job, tried);
        if (choice === undefined) break;
        const {server} = choice;
        if (tried.size > 0 && !this.retries.take(job.service)) break;
        tried.add(server.id);
        const mayRetry = isSafe && possibleRuns + 1 < job.route.maxAttempts;
        const inactivityTimeoutMs = mayRetry
          ? RETRYABLE_TIMEOUT_FACTOR * job.route.objectiveMs
          : MAX_INACTIVITY_TIMEOUT_MS;
        const result = yield* Effect.result(
          this.attempts.run(job, {server, inactivityTimeoutMs}, reply =>
            readAnswer(server.id, reply),
          ),
        );
        if (Result.isSuccess(result)) {
          possibleRuns += 1;
          if (result.success.status < 500) return result.success;
          errorAnswer = result.success;
          job.trace.mayHaveRun = true;
          if (!isSafe) return errorAnswer;
          continue;
        }
        if (!result.failure.isPossiblyRun()) continue;
        possibleRuns += 1;
        if (!isSafe) break;
      }
      if (errorAnswer !== undefined) return errorAnswer;
      if (job.trace.mayHaveRun) {
        return this.answers.make(CallOutcome.UNKNOWN, job.call);
      }
      const outcome =
        tried.size === 0 ? CallOutcome.NO_SERVER : CallOutcome.NOT_RUN;
      return this.answers.make(outcome, job.call, RETRY_AFTER_MS);
    });
  }
}

/** Buffers the complete answer, so that a truncated answer can be retried. */
export function readAnswer(
  serverId: string,
  reply: AttemptReply,
): Effect.Effect<CallAnswer, AttemptFailure> {
  const {head, stream} = reply;
  return readBody(stream, MAX_REPLY_BYTES, serverId).pipe(
    Effect.mapError(
      error =>
        new AttemptFailure(AttemptFailureKind.DISCONNECTED, serverId, error),
    ),
    Effect.onError(() => Effect.sync(() => stream.destroy())),
    Effect.map(body => ({
      outcome: CallOutcome.ANSWERED,
      status: head.status,
      headers: head.headers,
      body,
    })),
  );
}
