import {Effect, Result} from 'effect';
import {readBody} from '@greengagecross/http';
import {CallKind} from '../model/call_kind.js';
import {AttemptFailure, AttemptFailureKind} from './attempt_failure.js';
import type {AttemptReply, BackendAttempts} from './backend_attempts.js';
import {CallOutcome, type CallAnswer} from './call_answer.js';
import type {CallJob} from './call_job.js';
import {
  MAX_SENDS,
  PATIENT_SILENCE_MS,
  RETRY_AFTER_MS,
} from './dispatch_limits.js';
import type {FleetRetries} from './fleet_retries.js';
import type {OwnAnswers} from './own_answers.js';
import type {ServerChooser} from './server_chooser.js';

/** Largest answer that is read whole before it is passed on, in bytes. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;
/** Time without a byte after which an idempotent request goes elsewhere. */
const RETRYABLE_SILENCE_FACTOR = 3;

/** Dispatches requests of plain services. */
export class ServiceDispatcher {
  constructor(
    private readonly chooser: ServerChooser,
    private readonly attempts: BackendAttempts,
    private readonly retries: FleetRetries,
    private readonly answers: OwnAnswers,
  ) {}

  /** Sends a request until a server has answered it, as far as it may. */
  dispatch(job: CallJob): Effect.Effect<CallAnswer> {
    return Effect.gen({self: this}, function* () {
      const tried = new Set<string>();
      const isSafe = job.route.kind === CallKind.SAFE;
      let runs = 0;
      let failedReply: CallAnswer | undefined;
      this.retries.recordFirstTry(job.service);
      while (runs < job.route.maxAttempts && tried.size < MAX_SENDS) {
        const choice = this.chooser.choose(job, tried);
        if (choice === undefined) break;
        const {server} = choice;
        if (tried.size > 0 && !this.retries.take(job.service)) break;
        tried.add(server.id);
        const mayRetry = isSafe && runs + 1 < job.route.maxAttempts;
        const silenceMs = mayRetry
          ? RETRYABLE_SILENCE_FACTOR * job.route.objectiveMs
          : PATIENT_SILENCE_MS;
        const result = yield* Effect.result(
          this.attempts.run(job, {server, silenceMs}, reply =>
            readAnswer(server.id, reply),
          ),
        );
        if (Result.isSuccess(result)) {
          runs += 1;
          if (result.success.status < 500) return result.success;
          failedReply = result.success;
          job.trace.mayHaveRun = true;
          if (!isSafe) return failedReply;
          continue;
        }
        if (!result.failure.isPossiblyRun()) continue;
        runs += 1;
        if (!isSafe) break;
      }
      if (failedReply !== undefined) return failedReply;
      if (job.trace.mayHaveRun) {
        return this.answers.make(CallOutcome.UNKNOWN, job.call);
      }
      const outcome =
        tried.size === 0 ? CallOutcome.NO_SERVER : CallOutcome.NOT_RUN;
      return this.answers.make(outcome, job.call, RETRY_AFTER_MS);
    });
  }
}

/** Reads an answer whole, so that one that breaks off can be asked for again. */
export function readAnswer(
  serverId: string,
  reply: AttemptReply,
): Effect.Effect<CallAnswer, AttemptFailure> {
  const {head, stream} = reply;
  return readBody(stream, MAX_REPLY_BYTES, serverId).pipe(
    Effect.mapError(
      error => new AttemptFailure(AttemptFailureKind.CUT, serverId, error),
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
