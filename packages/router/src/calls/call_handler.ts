import {Effect, Result} from 'effect';
import {hash32, Logger, readSteadyMs} from '@greengagecross/common';
import type {CrashCounts, OwnDelay} from '@greengagecross/decisions';
import type {HttpExchange} from '@greengagecross/http';
import type {RouterMetrics} from '../metrics/router_metrics.js';
import {CallKind} from '../model/call_kind.js';
import type {ClientCall} from '../model/client_call.js';
import type {CallCodec} from '../ports/call_codec.js';
import type {FleetState} from '../state/fleet_state.js';
import type {ConfigurationView} from '../state/configuration_book.js';
import type {StreamDispatcher} from '../streams/stream_dispatcher.js';
import {CallOutcome, type CallAnswer} from './call_answer.js';
import type {CallJob} from './call_job.js';
import {chooseAdmission, type Admitted} from './choose_admission.js';
import type {OwnAnswers} from './own_answers.js';
import type {ServiceDispatcher} from './service_dispatcher.js';

/**
 * Longest wait for the first configuration, which is read in under 0.1 s; a
 * client that is refused comes back later than that.
 */
const START_WAIT_MS = 300;
/** When a client may come again to a daemon that cannot serve yet. */
const START_RETRY_MS = 500;
/** Refusals of a daemon that may serve the same request a moment later. */
const PASSING_OUTCOMES: ReadonlySet<CallOutcome> = new Set([
  CallOutcome.NO_CONFIGURATION,
  CallOutcome.OVERLOADED,
  CallOutcome.STOPPING,
]);
const logger = new Logger('calls');

/** When a request was read, and when its final answer is due. */
interface CallTimes {
  readonly startedAtMs: number;
  readonly dueAtMs: number;
}

/** Answers requests of clients: route, customer, body, dispatch, one log line. */
export class CallHandler {
  constructor(
    private readonly codec: CallCodec,
    private readonly state: FleetState,
    private readonly services: ServiceDispatcher,
    private readonly streams: StreamDispatcher,
    private readonly crashes: CrashCounts,
    private readonly ownDelay: OwnDelay,
    private readonly answers: OwnAnswers,
    private readonly metrics: RouterMetrics,
    private readonly isRefusing: () => boolean,
  ) {}

  /** Answers one request. */
  handle(exchange: HttpExchange): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const startedAtMs = readSteadyMs();
      const call = this.codec.decodeCall(exchange);
      if (!this.state.isComplete()) {
        yield* this.state.waitComplete(START_WAIT_MS);
      }
      const view = this.state.configuration.getView();
      if (view === undefined || !this.state.isComplete()) {
        return yield* this.refuse(exchange, call, CallOutcome.NO_CONFIGURATION);
      }
      if (this.isRefusing()) {
        return yield* this.refuse(exchange, call, CallOutcome.STOPPING);
      }
      const admitted = chooseAdmission(view, call);
      if (typeof admitted === 'string') {
        return yield* this.refuse(exchange, call, admitted);
      }
      const {timeoutMs} = admitted.route;
      const budgetMs = Math.min(call.deadlineMs ?? timeoutMs, timeoutMs);
      if (this.ownDelay.isTooLate(budgetMs)) {
        return yield* this.refuse(exchange, call, CallOutcome.OVERLOADED);
      }
      // What a request waited unread is gone from its time.
      const sentAtMs = startedAtMs - this.ownDelay.getDelayMs();
      const dueAtMs = sentAtMs + budgetMs;
      return yield* this.run(exchange, call, view, admitted, {
        startedAtMs,
        dueAtMs,
      });
    });
  }

  private run(
    exchange: HttpExchange,
    call: ClientCall,
    view: ConfigurationView,
    admitted: Admitted,
    {startedAtMs, dueAtMs}: CallTimes,
  ): Effect.Effect<void> {
    const {maxBodyBytes} = view.configuration.limits;
    return Effect.gen({self: this}, function* () {
      const read = yield* Effect.result(exchange.readBody(maxBodyBytes));
      if (Result.isFailure(read)) {
        yield* this.refuse(exchange, call, CallOutcome.TOO_LARGE);
        exchange.response.once('finish', () => exchange.request.destroy());
        return;
      }
      const job: CallJob = {
        ...admitted,
        exchange,
        call,
        body: read.success,
        dueAtMs,
        fingerprint: makeFingerprint(call, read.success),
        trace: {attempts: [], mayHaveRun: false, placement: ''},
      };
      let outcome = CallOutcome.BROKEN_OFF;
      yield* this.dispatch(job).pipe(
        Effect.timeoutOrElse({
          duration: Math.max(0, dueAtMs - readSteadyMs()),
          orElse: () => Effect.sync(() => this.makeTimedOut(job)),
        }),
        Effect.map(result => {
          outcome = typeof result === 'string' ? result : result.outcome;
          if (typeof result !== 'string') sendAnswer(exchange, result);
        }),
        Effect.onInterrupt(() =>
          Effect.sync(() => this.report(job, startedAtMs, 'client-left')),
        ),
      );
      if (isWhole(outcome)) this.crashes.recordWhole(job.fingerprint);
      this.report(job, startedAtMs, outcome);
    });
  }

  private dispatch(job: CallJob): Effect.Effect<CallAnswer | CallOutcome> {
    if (this.crashes.isCondemned(job.fingerprint, readSteadyMs())) {
      const answer = this.answers.make(CallOutcome.CONDEMNED, job.call);
      return Effect.succeed(answer);
    }
    return job.route.kind === CallKind.STREAM
      ? this.streams.dispatch(job)
      : this.services.dispatch(job);
  }

  /** The time is over: an answer that has begun cannot end as complete. */
  private makeTimedOut(job: CallJob): CallAnswer | CallOutcome {
    if (job.exchange.response.headersSent) {
      job.exchange.response.destroy();
      return CallOutcome.BROKEN_OFF;
    }
    const wasSent = job.trace.attempts.length > 0;
    const outcome = wasSent ? CallOutcome.TIMED_OUT : CallOutcome.NO_SERVER;
    return this.answers.make(outcome, job.call);
  }

  private refuse(
    exchange: HttpExchange,
    call: ClientCall,
    outcome: CallOutcome,
  ): Effect.Effect<void> {
    return Effect.sync(() => {
      const retryAfterMs = isPassing(outcome) ? START_RETRY_MS : undefined;
      const answer = this.answers.make(outcome, call, retryAfterMs);
      sendAnswer(exchange, answer);
      this.metrics.recordCall('none', outcome, 0, 0);
      logger.log('A request was refused.', {
        request: call.id,
        outcome,
        status: answer.status,
        ownDelayMs: Math.round(this.ownDelay.getDelayMs()),
        ...this.describeBeliefs(),
      });
    });
  }

  private report(
    job: CallJob,
    startedAtMs: number,
    outcome: CallOutcome | 'client-left',
  ): void {
    const afterMs = readSteadyMs() - startedAtMs;
    const {attempts, mayHaveRun, placement, firstEventAtMs, longestPauseMs} =
      job.trace;
    if (outcome !== 'client-left') {
      this.metrics.recordCall(
        job.route.kind,
        outcome,
        attempts.length,
        afterMs / 1000,
      );
    }
    logger.log('A request ended.', {
      request: job.call.id,
      kind: job.route.kind,
      route: job.route.name,
      service: job.service,
      customer: job.customer,
      servers: attempts.join(','),
      placement,
      mayHaveRun,
      outcome,
      status: job.exchange.response.statusCode,
      afterMs: Math.round(afterMs),
      ...(firstEventAtMs === undefined
        ? {}
        : {
            firstEventMs: Math.round(firstEventAtMs - startedAtMs),
            longestPauseMs: Math.round(longestPauseMs ?? 0),
          }),
      ...this.describeBeliefs(),
    });
  }

  private describeBeliefs(): Record<string, number> {
    const nowMs = readSteadyMs();
    const {configuration, backends} = this.state;
    return {
      configuration: configuration.getVersion(),
      configurationAgeMs: configuration.computeAgeMs(nowMs),
      backends: backends.getRevision(),
      backendsAgeMs: backends.computeAgeMs(nowMs),
    };
  }
}

function sendAnswer(exchange: HttpExchange, answer: CallAnswer): void {
  exchange.send(answer.status, answer.headers, answer.body);
}

function isPassing(outcome: CallOutcome): boolean {
  return PASSING_OUTCOMES.has(outcome);
}

function isWhole(outcome: CallOutcome): boolean {
  return outcome === CallOutcome.ANSWERED || outcome === CallOutcome.STREAMED;
}

function makeFingerprint(call: ClientCall, body: Buffer): string {
  const text = `${call.credential}\u0000${call.host}${call.target}\u0000`;
  return hash32(text + body.toString('latin1')).toString(36);
}
