import {Effect, Result} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {
  isRequestSuspectId,
  listSuspects,
  type EventLoopDelay,
} from '@greengagecross/decisions';
import type {HttpExchange} from '@greengagecross/http';
import type {RouterMetrics} from '../metrics/router_metrics.js';
import {CallKind} from '../model/call_kind.js';
import type {CallAddress, ClientCall} from '../model/client_call.js';
import type {CallCodec} from '../ports/call_codec.js';
import type {FleetState} from '../state/fleet_state.js';
import type {ConfigurationView} from '../state/current_configuration.js';
import {CrashVerdict, type CrashGuard} from '../suspects/crash_guard.js';
import type {StreamDispatcher} from '../streams/stream_dispatcher.js';
import {
  CallOutcome,
  isCompleteOutcome,
  isTemporaryOutcome,
  type CallAnswer,
} from './call_answer.js';
import type {CallJob} from './call_job.js';
import type {AdmittedRequest} from './choose_admission.js';
import type {LocalAnswers} from './local_answers.js';
import {makeFingerprint} from './make_fingerprint.js';
import {readCallBody} from './read_call_body.js';
import type {RefusalLog} from './refusal_log.js';
import type {RequestAdmission} from './request_admission.js';
import type {ServiceDispatcher} from './service_dispatcher.js';

const logger = new Logger('calls');

/** Times on the monotonic clock. */
interface CallTimes {
  /** When this daemon read the request. */
  readonly startedAtMs: number;
  /** When the final answer is due. */
  readonly dueAtMs: number;
}

/**
 * Handles client requests: finds the route and customer, reads the body,
 * dispatches the request and writes one log line.
 */
export class CallHandler {
  constructor(
    private readonly codec: CallCodec,
    private readonly state: FleetState,
    private readonly admission: RequestAdmission,
    private readonly services: ServiceDispatcher,
    private readonly streams: StreamDispatcher,
    private readonly guard: CrashGuard,
    private readonly eventLoopDelay: EventLoopDelay,
    private readonly answers: LocalAnswers,
    private readonly metrics: RouterMetrics,
    private readonly refusals: RefusalLog,
    private readonly isRefusing: () => boolean,
  ) {}

  /** Answers one request; a failure is answered with the reason. */
  handle(exchange: HttpExchange): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const startedAtMs = readSteadyMs();
      const address = this.codec.decodeAddress(exchange);
      const admission = yield* this.admission.check(
        address,
        () => this.codec.decodeCall(exchange, address).timeoutMs,
      );
      if (typeof admission === 'string') {
        return yield* this.refuse(exchange, address, admission);
      }
      const {view, request: admitted} = admission;
      const call = this.codec.decodeCall(exchange, address);
      const {timeoutMs} = admitted.route;
      const budgetMs = Math.min(call.timeoutMs ?? timeoutMs, timeoutMs);
      if (this.eventLoopDelay.isTooLate(budgetMs)) {
        return yield* this.refuse(exchange, call, CallOutcome.OVERLOADED);
      }
      // The time before the request was read counts against its deadline.
      const sentAtMs = startedAtMs - this.eventLoopDelay.getDelayMs();
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
    admitted: AdmittedRequest,
    {startedAtMs, dueAtMs}: CallTimes,
  ): Effect.Effect<void> {
    const {maxBodyBytes} = view.configuration.limits;
    return Effect.gen({self: this}, function* () {
      const read = yield* Effect.result(
        readCallBody(exchange, maxBodyBytes, outcome => {
          this.metrics.recordCall('none', outcome, 0, 0);
          this.refusals.recordNotReceived(outcome, readSteadyMs(), call.id);
        }),
      );
      if (Result.isFailure(read)) {
        return yield* this.refuse(exchange, call, read.failure);
      }
      // The body may have taken a long part of the stop grace.
      if (this.isRefusing()) {
        return yield* this.refuse(exchange, call, CallOutcome.STOPPING);
      }
      const job: CallJob = {
        ...admitted,
        exchange,
        call,
        body: read.success,
        dueAtMs,
        suspects: listSuspects(
          call.prompt,
          makeFingerprint(call, read.success),
        ),
        trace: {attempts: [], mayHaveRun: false, placement: ''},
      };
      // Set by the dispatch before it is read.
      let outcome = CallOutcome.TRUNCATED;
      yield* this.dispatch(job).pipe(
        Effect.timeoutOrElse({
          duration: Math.max(0, dueAtMs - readSteadyMs()),
          orElse: () => Effect.sync(() => this.makeTimeoutAnswer(job)),
        }),
        Effect.map(result => {
          outcome = typeof result === 'string' ? result : result.outcome;
          if (typeof result !== 'string') sendAnswer(exchange, result);
        }),
        Effect.onInterrupt(() =>
          Effect.sync(() => this.report(job, startedAtMs, 'client-left')),
        ),
      );
      if (isCompleteOutcome(outcome)) this.recordCompleted(job);
      this.report(job, startedAtMs, outcome);
    });
  }

  private dispatch(job: CallJob): Effect.Effect<CallAnswer | CallOutcome> {
    const {verdict, suspectId, retryAfterMs} = this.guard.check(job.suspects);
    if (verdict === CrashVerdict.REFUSED && suspectId !== undefined) {
      job.trace.placement = `condemned ${suspectId}`;
      const outcome = isRequestSuspectId(suspectId)
        ? CallOutcome.CONDEMNED
        : CallOutcome.CONDEMNED_PART;
      return Effect.succeed(this.answers.make(outcome, job.call, retryAfterMs));
    }
    return job.route.kind === CallKind.STREAM
      ? this.streams.dispatch(job)
      : this.services.dispatch(job);
  }

  /** Clears the request itself: its server has not crashed under it. */
  private recordCompleted({suspects}: CallJob): void {
    const ids = suspects.map(({id}) => id).filter(isRequestSuspectId);
    this.guard.recordAnswer(ids);
  }

  /**
   * Makes the answer to a request whose deadline has expired. A response that
   * has started is aborted instead, so that it cannot look complete.
   */
  private makeTimeoutAnswer(job: CallJob): CallAnswer | CallOutcome {
    if (job.exchange.response.headersSent) {
      job.exchange.response.destroy();
      return CallOutcome.TRUNCATED;
    }
    const hasAttempt = job.trace.attempts.length > 0;
    const outcome = hasAttempt ? CallOutcome.TIMED_OUT : CallOutcome.NO_SERVER;
    return this.answers.make(outcome, job.call);
  }

  private refuse(
    exchange: HttpExchange,
    call: CallAddress,
    outcome: CallOutcome,
  ): Effect.Effect<void> {
    return Effect.sync(() => {
      const retryAfterMs = isTemporaryOutcome(outcome)
        ? this.admission.computeRetryMs(outcome)
        : undefined;
      const answer = this.answers.make(outcome, call, retryAfterMs);
      sendAnswer(exchange, answer);
      this.metrics.recordCall('none', outcome, 0, 0);
      const isOutdated = this.state.configuration.advertised.isBehind();
      this.metrics.recordRefusal(answer.status, isOutdated);
      const nowMs = readSteadyMs();
      this.refusals.record(outcome, nowMs, () => ({
        request: call.id,
        status: answer.status,
        ownDelayMs: Math.round(this.eventLoopDelay.getDelayMs()),
        ...this.state.describe(nowMs),
      }));
    });
  }

  private report(
    job: CallJob,
    startedAtMs: number,
    outcome: CallOutcome | 'client-left',
  ): void {
    const afterMs = readSteadyMs() - startedAtMs;
    const {attempts, mayHaveRun, placement, hedge, isHedgingOn} = job.trace;
    const {firstEventAtMs, longestPauseMs, cold} = job.trace;
    if (outcome !== 'client-left') {
      this.metrics.recordCall(
        job.route.kind,
        outcome,
        attempts.length,
        afterMs / 1000,
        isHedgingOn,
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
      hedge,
      ...(cold === undefined ? {} : {cold}),
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
      ...this.state.describe(readSteadyMs()),
    });
  }
}

function sendAnswer(exchange: HttpExchange, answer: CallAnswer): void {
  exchange.send(answer.status, answer.headers, answer.body);
}
