import {Effect, Result} from 'effect';
import type {AttemptFailure} from '../calls/attempt_failure.js';
import type {AttemptReply, BackendAttempts} from '../calls/backend_attempts.js';
import {CallOutcome, type CallAnswer} from '../calls/call_answer.js';
import type {CallJob} from '../calls/call_job.js';
import {
  MAX_SENDS,
  PATIENT_SILENCE_MS,
  RETRY_AFTER_MS,
} from '../calls/dispatch_limits.js';
import type {FleetRetries} from '../calls/fleet_retries.js';
import type {OwnAnswers} from '../calls/own_answers.js';
import type {ServerChooser} from '../calls/server_chooser.js';
import {readAnswer} from '../calls/service_dispatcher.js';
import {EventRelay} from './event_relay.js';

/** Silence after which a stream that can be resumed goes elsewhere, in ms. */
const RESUMABLE_SILENCE_MS = 1200;

/** Dispatches generations, whose answers are streams of events. */
export class StreamDispatcher {
  constructor(
    private readonly chooser: ServerChooser,
    private readonly attempts: BackendAttempts,
    private readonly retries: FleetRetries,
    private readonly answers: OwnAnswers,
  ) {}

  /**
   * Relays a stream, resuming it elsewhere where its route allows that.
   *
   * @return the answer to send, or undefined when the relay has sent it
   */
  dispatch(job: CallJob): Effect.Effect<CallAnswer | CallOutcome> {
    return Effect.gen({self: this}, function* () {
      const relay = new EventRelay(job.exchange.response, job.call.lastEventId);
      const tried = new Set<string>();
      const {isResumable, maxAttempts} = job.route;
      let runs = 0;
      let failedReply: CallAnswer | undefined;
      this.retries.recordFirstTry(job.service);
      while (runs < maxAttempts && tried.size < MAX_SENDS) {
        const choice = this.chooser.choose(job, tried);
        if (choice === undefined) break;
        const {server} = choice;
        if (tried.size > 0 && !this.retries.take(job.service)) break;
        tried.add(server.id);
        const mayResume = isResumable && runs + 1 < maxAttempts;
        const lastEventId = relay.getLastId();
        const plan = {
          ...choice,
          silenceMs: mayResume ? RESUMABLE_SILENCE_MS : PATIENT_SILENCE_MS,
          ...(lastEventId === undefined ? {} : {lastEventId}),
        };
        const result = yield* Effect.result(
          this.attempts.run(job, plan, reply =>
            this.relayReply(job, relay, server.id, reply),
          ),
        );
        if (Result.isSuccess(result)) {
          if (typeof result.success === 'string') return result.success;
          runs += 1;
          job.trace.mayHaveRun = true;
          failedReply = result.success;
          if (!isResumable || failedReply.status < 500) break;
          continue;
        }
        if (!result.failure.isPossiblyRun()) continue;
        runs += 1;
        if (!isResumable) break;
      }
      if (relay.isStarted()) {
        relay.closeBroken();
        return CallOutcome.BROKEN_OFF;
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

  private relayReply(
    job: CallJob,
    relay: EventRelay,
    serverId: string,
    reply: AttemptReply,
  ): Effect.Effect<CallAnswer | CallOutcome, AttemptFailure> {
    const {status, headers} = reply.head;
    if (status < 200 || status >= 300) return readAnswer(serverId, reply);
    return relay.relay(reply.stream, status, headers, serverId).pipe(
      Effect.ensuring(Effect.sync(() => recordTimes(job, relay))),
      Effect.map(() => {
        relay.finish(status, headers);
        return CallOutcome.STREAMED;
      }),
    );
  }
}

function recordTimes({trace}: CallJob, relay: EventRelay): void {
  const firstEventAtMs = relay.getFirstEventAtMs();
  if (firstEventAtMs === undefined) return;
  trace.firstEventAtMs = firstEventAtMs;
  trace.longestPauseMs = relay.getLongestPauseMs();
}
