import {Effect, Queue, Result, type Cause, type Scope} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {
  HedgeRefusal,
  type HedgeDecision,
  type HedgeDelay,
  type HedgePolicy,
} from '@greengagecross/decisions';
import type {RouterMetrics} from '../metrics/router_metrics.js';
import {CallKind} from '../model/call_kind.js';
import type {AttemptFailure} from './attempt_failure.js';
import type {AttemptSequence} from './attempt_sequence.js';
import type {AttemptPlan} from './backend_attempts.js';
import type {CallAnswer} from './call_answer.js';
import {HedgeResult, type CallJob} from './call_job.js';
import type {ServerChoice} from './server_choice.js';
import type {ServerChooser} from './server_chooser.js';

const logger = new Logger('hedges');

/** How an attempt ended: a complete reply, or why there is none. */
export type AttemptEnd = Result.Result<CallAnswer, AttemptFailure>;

/** Options of an attempt that runs beside another one. */
export type AttemptOptions = Pick<AttemptPlan, 'isSuperseded'>;

/** Runs one attempt to its end. */
export type RunAttempt = (
  choice: ServerChoice,
  options: AttemptOptions,
) => Effect.Effect<AttemptEnd>;

/** Attempts of one request that run beside each other. */
interface Round {
  readonly job: CallJob;
  readonly sequence: AttemptSequence;
  readonly first: ServerChoice;
  readonly runAttempt: RunAttempt;
  readonly events: Queue.Queue<RoundEvent>;
  /** Whether one of the attempts gave a valid answer. */
  isAnswered: boolean;
}

/** The end of an attempt; without one, the delay of the hedge has passed. */
interface RoundEvent {
  readonly isHedge: boolean;
  readonly end?: AttemptEnd;
  /** Cause of an attempt that ended by an unexpected error. */
  readonly defect?: Cause.Cause<never>;
}

/** Returns whether the server of an ended attempt may have run the request. */
export function isPossiblyRun(end: AttemptEnd): boolean {
  return Result.isSuccess(end) || end.failure.isPossiblyRun();
}

/**
 * Runs an attempt and, if that is open after a delay and `HedgePolicy` allows
 * it, a second one beside it.
 */
export class HedgedAttempts {
  constructor(
    private readonly policy: HedgePolicy,
    private readonly chooser: ServerChooser,
    private readonly metrics: RouterMetrics,
  ) {}

  /** Records an idempotent request, before its first attempt. */
  recordRequest({route, trace}: CallJob): void {
    trace.isHedgingOn = this.policy.isOn();
    if (trace.isHedgingOn) {
      this.policy.recordRequest(route.name, readSteadyMs());
    }
  }

  /**
   * Runs an attempt, and a hedge if needed, until one gives a valid answer or
   * both have ended. The attempt that is still open then is closed.
   *
   * @return the ends of the attempts in order; a valid answer is the last
   */
  run(
    job: CallJob,
    sequence: AttemptSequence,
    first: ServerChoice,
    runAttempt: RunAttempt,
  ): Effect.Effect<readonly AttemptEnd[]> {
    const isIdempotent = job.route.kind === CallKind.IDEMPOTENT;
    // The server of a prompt keeps its context, which a second one lacks.
    const hasPrompt = job.call.prompt.length > 0;
    if (!this.policy.isOn() || !isIdempotent || hasPrompt) {
      return Effect.map(runAttempt(first, {}), end => [end]);
    }
    return Effect.scoped(
      Effect.gen({self: this}, function* () {
        const events = yield* Queue.unbounded<RoundEvent>();
        const base = {job, sequence, first, runAttempt, events};
        return yield* this.runRound({...base, isAnswered: false});
      }),
    );
  }

  private runRound(
    round: Round,
  ): Effect.Effect<readonly AttemptEnd[], never, Scope.Scope> {
    const {job, sequence, first, events} = round;
    return Effect.gen({self: this}, function* () {
      const ends: AttemptEnd[] = [];
      yield* this.startAttempt(round, first, false);
      const delay = this.policy.findDelay(job.route.name, readSteadyMs());
      if (delay !== undefined && sequence.isHedgeable()) {
        const due = Queue.offer(events, {isHedge: true});
        yield* Effect.forkScoped(Effect.delay(due, delay.delayMs));
      }
      let open = 1;
      while (open > 0) {
        const {end, isHedge, defect} = yield* Queue.take(events);
        if (defect !== undefined) return yield* Effect.failCause(defect);
        if (end !== undefined) {
          open -= 1;
          ends.push(end);
          if (isAnswer(end)) {
            round.isAnswered = true;
            this.recordWinner(job, isHedge);
            break;
          }
          continue;
        }
        const choice = this.takeHedge(round, delay);
        if (choice === undefined) continue;
        open += 1;
        yield* this.startAttempt(round, choice, true);
      }
      if (job.trace.hedge === HedgeResult.OPEN) {
        job.trace.hedge = HedgeResult.FAILED;
      }
      return ends;
    });
  }

  /** Starts an attempt, which is closed at the end of the round. */
  private startAttempt(
    round: Round,
    choice: ServerChoice,
    isHedge: boolean,
  ): Effect.Effect<unknown, never, Scope.Scope> {
    const {policy} = this;
    const {route} = round.job;
    const serverId = choice.server.id;
    const nowMs = readSteadyMs();
    const attempt = policy.recordSend(route.name, serverId, isHedge, nowMs);
    const running = round
      .runAttempt(choice, {isSuperseded: () => round.isAnswered})
      .pipe(
        Effect.tap(end =>
          Effect.sync(() => {
            if (isAnswer(end)) policy.recordAnswer(attempt, readSteadyMs());
            else policy.recordFailure(attempt, readSteadyMs());
          }),
        ),
        Effect.onInterrupt(() =>
          Effect.sync(() => policy.recordCancelled(attempt, readSteadyMs())),
        ),
        Effect.flatMap(end => Queue.offer(round.events, {isHedge, end})),
        // Without an event the round would wait until the deadline.
        Effect.onError(defect => Queue.offer(round.events, {isHedge, defect})),
      );
    return Effect.forkScoped(running, {startImmediately: true});
  }

  /** Decides on the hedge of an open request and takes its server. */
  private takeHedge(
    {job, sequence, first}: Round,
    delay: HedgeDelay | undefined,
  ): ServerChoice | undefined {
    const {policy} = this;
    const nowMs = readSteadyMs();
    const decision = policy.check(
      job.route.name,
      this.chooser.listLoads(job),
      sequence.getTried(),
      sequence.hasRetry(),
      nowMs,
    );
    const refusal = this.findRefusal(job, sequence, decision);
    const {serverIds} = decision;
    const choice =
      refusal === undefined
        ? sequence.takeHedge(id => serverIds.has(id))
        : undefined;
    if (choice === undefined) {
      this.metrics.recordHedgeRefusal(refusal ?? HedgeRefusal.NO_SERVER);
      return undefined;
    }
    policy.take(job.route.name, nowMs);
    job.trace.hedge = HedgeResult.OPEN;
    this.metrics.recordHedge('sent');
    logHedge(job, first, choice, decision, delay);
    return choice;
  }

  private findRefusal(
    job: CallJob,
    sequence: AttemptSequence,
    {refusal}: HedgeDecision,
  ): HedgeRefusal | undefined {
    if (!sequence.isHedgeable()) return HedgeRefusal.ATTEMPTS;
    return this.chooser.isReduced(job) ? HedgeRefusal.REDUCED : refusal;
  }

  private recordWinner({trace}: CallJob, isHedge: boolean): void {
    if (trace.hedge !== HedgeResult.OPEN) return;
    trace.hedge = isHedge ? HedgeResult.WON : HedgeResult.LOST;
    if (isHedge) this.metrics.recordHedge('won');
  }
}

function isAnswer(end: AttemptEnd): boolean {
  return Result.isSuccess(end) && end.success.status < 500;
}

function logHedge(
  {call, route, service}: CallJob,
  first: ServerChoice,
  {server}: ServerChoice,
  decision: HedgeDecision,
  delay: HedgeDelay | undefined,
): void {
  const {inFlight, slots, quickServers, slowServers} = decision;
  logger.log('A slow request was also sent to a second server.', {
    request: call.id,
    route: route.name,
    service,
    firstServer: first.server.id,
    server: server.id,
    delayMs: Math.round(delay?.delayMs ?? 0),
    samples: delay?.samples,
    samplesAgeMs: Math.round(delay?.ageMs ?? 0),
    inFlight,
    slots,
    quickServers,
    slowServers,
  });
}
