import {Effect, Result} from 'effect';
import {HttpFailure, readBody} from '@greengagecross/http';
import {CallKind} from '../model/call_kind.js';
import type {CrashGuard} from '../suspects/crash_guard.js';
import {AttemptFailure, AttemptFailureKind} from './attempt_failure.js';
import {AttemptSequence} from './attempt_sequence.js';
import type {
  AttemptPlan,
  AttemptReply,
  BackendAttempts,
} from './backend_attempts.js';
import {
  isPossiblyRun,
  type AttemptEnd,
  type AttemptOptions,
  type HedgedAttempts,
} from './hedged_attempts.js';
import type {ServerChoice} from './server_choice.js';
import {CallOutcome, type CallAnswer} from './call_answer.js';
import type {CallJob} from './call_job.js';
import {MAX_SILENCE_TIMEOUT_MS} from './dispatch_limits.js';
import type {FleetRetries} from './fleet_retries.js';
import type {LocalAnswers} from './local_answers.js';
import type {ServerChooser} from './server_chooser.js';

/** Maximum size of a reply, which is buffered before it is forwarded. */
const MAX_REPLY_BYTES = 8 * 1024 * 1024;
/**
 * Silence timeout after which an idempotent request is sent to another server,
 * as a multiple of the latency objective of the route.
 */
const RETRYABLE_TIMEOUT_FACTOR = 3;

/** Dispatches requests that are not answered as event streams. */
export class ServiceDispatcher {
  constructor(
    private readonly chooser: ServerChooser,
    private readonly attempts: BackendAttempts,
    private readonly retries: FleetRetries,
    private readonly answers: LocalAnswers,
    private readonly guard: CrashGuard,
    private readonly hedges: HedgedAttempts,
  ) {}

  /**
   * Sends a request to one server after another until a reply has no 5xx status.
   *
   * Stops when the sequence of attempts ends, or when a request that is not
   * idempotent may have been run.
   */
  dispatch(job: CallJob): Effect.Effect<CallAnswer> {
    return Effect.gen({self: this}, function* () {
      const {guard, retries, chooser, hedges} = this;
      const isIdempotent = job.route.kind === CallKind.IDEMPOTENT;
      const sequence = new AttemptSequence(job, chooser, retries, guard);
      if (isIdempotent) hedges.recordRequest(job);
      let errorAnswer: CallAnswer | undefined;
      for (;;) {
        const choice = sequence.takeNext();
        if (choice === undefined) break;
        const ends = yield* hedges.run(job, sequence, choice, (next, options) =>
          this.runAttempt(job, sequence, next, options),
        );
        for (const end of ends) {
          if (Result.isFailure(end)) continue;
          if (end.success.status < 500) return end.success;
          errorAnswer = end.success;
        }
        if (!isIdempotent && ends.some(isPossiblyRun)) break;
      }
      if (errorAnswer !== undefined) return errorAnswer;
      if (job.trace.mayHaveRun) {
        return this.answers.make(CallOutcome.UNKNOWN, job.call);
      }
      const outcome = sequence.hasTried()
        ? CallOutcome.NOT_RUN
        : CallOutcome.NO_SERVER;
      const retryAfterMs = this.chooser.computeRetryAfterMs(job);
      return this.answers.make(outcome, job.call, retryAfterMs);
    });
  }

  /** Runs one attempt to its end, which it records. */
  private runAttempt(
    job: CallJob,
    sequence: AttemptSequence,
    {server}: ServerChoice,
    options: AttemptOptions,
  ): Effect.Effect<AttemptEnd> {
    // A cache source in the choice is ignored: only streams copy contexts.
    const plan = {server, ...planSilence(job, sequence), ...options};
    return Effect.result(
      this.attempts.run(job, plan, reply => readReply(server.id, reply)),
    ).pipe(
      Effect.tap(end =>
        Effect.sync(() => {
          if (isPossiblyRun(end)) sequence.recordPossibleRun();
          else sequence.recordNotRun();
          const isError = Result.isSuccess(end) && end.success.status >= 500;
          if (isError) job.trace.mayHaveRun = true;
        }),
      ),
    );
  }
}

/**
 * Plans how long a server may be silent. An idempotent request is then sent to
 * another one, if another attempt may follow.
 */
function planSilence(
  {route}: CallJob,
  sequence: AttemptSequence,
): Omit<AttemptPlan, 'server'> {
  const isIdempotent = route.kind === CallKind.IDEMPOTENT;
  if (!isIdempotent || !sequence.isRepeatable()) {
    return {silenceTimeoutMs: MAX_SILENCE_TIMEOUT_MS};
  }
  return {
    silenceTimeoutMs: RETRYABLE_TIMEOUT_FACTOR * route.objectiveMs,
    mayEndSilent: () => sequence.acquireNext(),
  };
}

/**
 * Reads a complete reply and makes it the answer to the client. Nothing is
 * forwarded before, so that another attempt can follow a truncated reply.
 */
export function readReply(
  serverId: string,
  reply: AttemptReply,
): Effect.Effect<CallAnswer, AttemptFailure> {
  const {head, stream} = reply;
  return readBody(stream, MAX_REPLY_BYTES, serverId).pipe(
    Effect.mapError(error => {
      const isCut = error.failure === HttpFailure.CLOSED;
      const kind = isCut
        ? AttemptFailureKind.DISCONNECTED
        : AttemptFailureKind.INVALID_REPLY;
      return new AttemptFailure(kind, serverId, error);
    }),
    Effect.onError(() => Effect.sync(() => stream.destroy())),
    Effect.map(body => ({
      outcome: CallOutcome.ANSWERED,
      status: head.status,
      headers: head.headers,
      body,
    })),
  );
}
