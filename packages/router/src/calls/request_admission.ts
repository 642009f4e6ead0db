import {Effect} from 'effect';
import {readSteadyMs} from '@greengagecross/common';
import type {CallAddress} from '../model/client_call.js';
import type {FleetStateSource} from '../ports/fleet_state_source.js';
import type {ConfigurationView} from '../state/current_configuration.js';
import type {FleetState} from '../state/fleet_state.js';
import {CallOutcome} from './call_answer.js';
import {chooseAdmission, type AdmittedRequest} from './choose_admission.js';

/**
 * Maximum wait for the first configuration, which loads in under 0.1 s. The wait
 * is shorter than the retry delay of a client that is refused instead.
 */
const START_WAIT_MS = 300;
/** Maximum wait of a request for a newer configuration. */
const UPDATE_WAIT_MS = 300;
/** The same as a share of the time that the client waits for its answer. */
const UPDATE_WAIT_SHARE = 0.25;
/** Maximum number of requests that wait for a newer configuration. */
const MAX_WAITING = 100;
/** Lag after which a newer configuration is no longer expected soon. */
const MAX_AWAITED_LAG_MS = 3000;
/** Interval at which a waiting request checks whether an update is still due. */
const CHECK_INTERVAL_MS = 100;
/**
 * Age from which the configuration counts as out of date: neither the store nor
 * a peer that reaches it has confirmed it for several long polls.
 */
const MAX_CONFIRMED_AGE_MS = 10_000;
/** Retry delay of a request that is refused temporarily, before dispatch. */
const REFUSAL_RETRY_MS = 500;
/**
 * Shortest retry delay of a request that is refused for lack of a newer
 * configuration: another daemon probably has it. Consecutive refusals get delays
 * that differ, so that the requests of a crowd do not return together.
 */
const OUTDATED_RETRY_MS = 200;
const RETRY_STEP_MS = 30;
const RETRY_STEPS = 8;

/** An admitted request and the configuration that admits it. */
export interface Admission {
  readonly view: ConfigurationView;
  readonly request: AdmittedRequest;
}

/**
 * Admits requests by the active configuration. A request that it does not allow
 * is refused for good only if no newer configuration is known of.
 */
export class RequestAdmission {
  private waiting = 0;
  private outdatedRefusals = 0;

  /** @param isRefusing whether this daemon accepts no more requests */
  constructor(
    private readonly state: FleetState,
    private readonly source: FleetStateSource,
    private readonly isRefusing: () => boolean,
  ) {}

  /**
   * Admits a request or gives the reason to refuse it.
   *
   * @param getTimeoutMs gives the time that the client waits for its answer;
   *     undefined for no deadline
   */
  check(
    address: CallAddress,
    getTimeoutMs: () => number | undefined,
  ): Effect.Effect<Admission | CallOutcome> {
    return Effect.gen({self: this}, function* () {
      if (!this.state.isComplete()) {
        yield* this.state.waitUntilComplete(START_WAIT_MS);
      }
      if (!this.state.isComplete()) return CallOutcome.NO_CONFIGURATION;
      if (this.isRefusing()) return CallOutcome.STOPPING;
      const result = this.findResult(address);
      if (result !== undefined) return result;
      if (!this.isWaitAllowed()) return CallOutcome.OUTDATED;
      const timeoutMs = getTimeoutMs() ?? Infinity;
      return yield* this.waitForDecision(
        address,
        Math.min(UPDATE_WAIT_MS, UPDATE_WAIT_SHARE * timeoutMs),
      );
    });
  }

  /** Computes the retry delay of a request that is refused temporarily. */
  computeRetryMs(outcome: CallOutcome): number {
    if (outcome !== CallOutcome.OUTDATED) return REFUSAL_RETRY_MS;
    this.outdatedRefusals += 1;
    const step = this.outdatedRefusals % RETRY_STEPS;
    return OUTDATED_RETRY_MS + step * RETRY_STEP_MS;
  }

  /** Decides on a request; undefined if a newer configuration may allow it. */
  private findResult(
    address: CallAddress,
  ): Admission | CallOutcome | undefined {
    const view = this.state.configuration.getView();
    if (view === undefined) return CallOutcome.NO_CONFIGURATION;
    const request = chooseAdmission(view, address);
    if (typeof request !== 'string') return {view, request};
    if (this.isUpdateExpected()) return undefined;
    const ageMs = this.state.configuration.computeAgeMs(readSteadyMs());
    return ageMs > MAX_CONFIRMED_AGE_MS ? CallOutcome.OUTDATED : request;
  }

  private isUpdateExpected(): boolean {
    const {advertised} = this.state.configuration;
    return advertised.isBehind() || this.source.isReceiving();
  }

  private isWaitAllowed(): boolean {
    const {advertised} = this.state.configuration;
    const lagMs = advertised.computeLagMs(readSteadyMs());
    return this.waiting < MAX_WAITING && lagMs <= MAX_AWAITED_LAG_MS;
  }

  private waitForDecision(
    address: CallAddress,
    timeoutMs: number,
  ): Effect.Effect<Admission | CallOutcome> {
    const {configuration} = this.state;
    this.waiting += 1;
    return Effect.gen({self: this}, function* () {
      for (;;) {
        yield* configuration.waitUntilActivated(CHECK_INTERVAL_MS);
        const result = this.findResult(address);
        if (result !== undefined) return result;
      }
    }).pipe(
      Effect.timeoutOrElse({
        duration: timeoutMs,
        orElse: () => Effect.succeed(CallOutcome.OUTDATED),
      }),
      Effect.ensuring(
        Effect.sync(() => {
          this.waiting -= 1;
        }),
      ),
    );
  }
}
