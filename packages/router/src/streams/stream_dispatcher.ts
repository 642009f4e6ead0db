import {Effect, Result} from 'effect';
import type {AttemptFailure} from '../calls/attempt_failure.js';
import {AttemptSequence} from '../calls/attempt_sequence.js';
import type {
  AttemptPlan,
  AttemptReply,
  BackendAttempts,
} from '../calls/backend_attempts.js';
import {CallOutcome, type CallAnswer} from '../calls/call_answer.js';
import type {CallJob} from '../calls/call_job.js';
import {MAX_SILENCE_TIMEOUT_MS} from '../calls/dispatch_limits.js';
import type {FleetRetries} from '../calls/fleet_retries.js';
import type {LocalAnswers} from '../calls/local_answers.js';
import type {ServerChooser} from '../calls/server_chooser.js';
import {readReply} from '../calls/service_dispatcher.js';
import type {Route} from '../model/route.js';
import type {CrashGuard} from '../suspects/crash_guard.js';
import {EventRelay} from './event_relay.js';

/**
 * Shortest time without an event after which a stream is resumed on another
 * server. Clients give up after two seconds or more.
 */
const MIN_RESUME_AFTER_MS = 1200;
/**
 * The same as multiples of the route's objectives, so that a sound stream on a
 * route with long pauses is not given up; clients wait about twice as long.
 */
const RESUME_AFTER_OBJECTIVES = 2;
const RESUME_AFTER_EVENT_GAPS = 4;

/** Dispatches generations: models' answers that are sent as event streams. */
export class StreamDispatcher {
  constructor(
    private readonly chooser: ServerChooser,
    private readonly attempts: BackendAttempts,
    private readonly retries: FleetRetries,
    private readonly answers: LocalAnswers,
    private readonly guard: CrashGuard,
  ) {}

  /**
   * Relays a stream; after a failure, resumes it on another server if the route
   * allows that.
   *
   * @return the answer to send, or only its outcome when the relay has already
   *     written the response
   */
  dispatch(job: CallJob): Effect.Effect<CallAnswer | CallOutcome> {
    return Effect.gen({self: this}, function* () {
      const relay = new EventRelay(job.exchange.response, job.call.lastEventId);
      const {guard, retries, chooser} = this;
      const {isResumable} = job.route;
      const sequence = new AttemptSequence(job, chooser, retries, guard);
      let errorAnswer: CallAnswer | undefined;
      for (;;) {
        const choice = sequence.takeNext();
        if (choice === undefined) break;
        const lastEventId = relay.getLastEventId();
        const plan = {
          ...choice,
          ...planSilence(job, sequence),
          ...(lastEventId === undefined ? {} : {lastEventId}),
        };
        const result = yield* Effect.result(
          this.attempts.run(job, plan, reply =>
            this.relayReply(job, relay, plan, reply),
          ),
        );
        if (Result.isSuccess(result)) {
          if (typeof result.success === 'string') return result.success;
          sequence.recordPossibleRun();
          job.trace.mayHaveRun = true;
          errorAnswer = result.success;
          if (!isResumable || errorAnswer.status < 500) break;
          continue;
        }
        if (!result.failure.isPossiblyRun()) continue;
        sequence.recordPossibleRun();
        if (!isResumable) break;
      }
      if (relay.isStarted()) {
        relay.closeIncomplete();
        return CallOutcome.TRUNCATED;
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

  private relayReply(
    job: CallJob,
    relay: EventRelay,
    {server, silenceTimeoutMs, mayEndSilent}: AttemptPlan,
    reply: AttemptReply,
  ): Effect.Effect<CallAnswer | CallOutcome, AttemptFailure> {
    const {head, stream, onEvent} = reply;
    const {status, headers} = head;
    if (status < 200 || status >= 300) return readReply(server.id, reply);
    return relay
      .forward(stream, head, server.id, silenceTimeoutMs, mayEndSilent, onEvent)
      .pipe(
        Effect.ensuring(Effect.sync(() => recordTimes(job, relay))),
        Effect.map(() => {
          relay.finish(status, headers);
          return CallOutcome.STREAMED;
        }),
      );
  }
}

/**
 * Plans how long a server may be silent. A stream that may be resumed then goes
 * on at another server, if another attempt may follow.
 */
function planSilence(
  {route}: CallJob,
  sequence: AttemptSequence,
): Omit<AttemptPlan, 'server'> {
  if (!route.isResumable || !sequence.isRepeatable()) {
    return {silenceTimeoutMs: MAX_SILENCE_TIMEOUT_MS};
  }
  return {
    silenceTimeoutMs: computeResumeAfterMs(route),
    mayEndSilent: () => sequence.acquireNext(),
  };
}

function computeResumeAfterMs({objectiveMs, maxEventGapMs = 0}: Route): number {
  return Math.max(
    MIN_RESUME_AFTER_MS,
    RESUME_AFTER_OBJECTIVES * objectiveMs,
    RESUME_AFTER_EVENT_GAPS * maxEventGapMs,
  );
}

function recordTimes({trace}: CallJob, relay: EventRelay): void {
  const firstEventAtMs = relay.getFirstEventAtMs();
  if (firstEventAtMs === undefined) return;
  trace.firstEventAtMs = firstEventAtMs;
  trace.longestPauseMs = relay.getLongestPauseMs();
}
