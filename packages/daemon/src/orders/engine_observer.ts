import {Clock, Effect} from 'effect';
import type {EngineControl} from '@greengagecross/backend';
import {Logger, type BackendServer} from '@greengagecross/common';
import {
  OrderStep,
  planStep,
  type EngineObservation,
} from '@greengagecross/decisions';
import type {OrderReport} from './order_report.js';
import type {OrderedService} from './ordered_service.js';

/**
 * Maximum engines read per round in each of two groups: those that drain or
 * load, and the others.
 */
const MAX_READS_PER_GROUP = 8;
/** A silent engine is assumed to have stopped loading after this time. */
const SILENT_LOAD_TIMEOUT_MS = 60_000;
const logger = new Logger('orders');

interface TimedObservation {
  readonly observation: EngineObservation;
  /** When the last read ended, also one that failed; local clock, in ms. */
  readonly atMs: number;
}

/**
 * Reads the states of one service's engines and keeps the last observations.
 *
 * Each round reads the engines whose last read is oldest: some that are
 * draining or loading, and some of the others. Changes made by delayed orders
 * are thus detected without reading every engine in each round.
 */
export class EngineObserver {
  private readonly timedObservations = new Map<string, TimedObservation>();

  constructor(
    private readonly control: EngineControl,
    private readonly readTimeoutMs: number,
  ) {}

  /**
   * Reads the engines that are due; returns the ids of the engines read,
   * including those that did not answer.
   */
  update(
    engines: readonly BackendServer[],
  ): Effect.Effect<ReadonlySet<string>> {
    const ids = new Set(engines.map(server => server.id));
    for (const id of this.timedObservations.keys()) {
      if (!ids.has(id)) this.timedObservations.delete(id);
    }
    const chosen = this.chooseEngines(engines);
    return Effect.as(
      Effect.forEach(chosen, server => this.read(server), {
        concurrency: 'unbounded',
        discard: true,
      }),
      new Set(chosen.map(server => server.id)),
    );
  }

  /**
   * Returns the last observations by engine id, in the order of the engines;
   * undefined for an engine that was never read.
   */
  getObservations(
    engines: readonly BackendServer[],
  ): ReadonlyMap<string, EngineObservation | undefined> {
    return new Map(
      engines.map(({id}) => [id, this.timedObservations.get(id)?.observation]),
    );
  }

  /**
   * Returns whether an engine is loading, or is silent and may still load;
   * false if it was never read.
   */
  isMaybeLoading(engine: string, nowMs: number): boolean {
    const observation = this.timedObservations.get(engine)?.observation;
    if (observation === undefined) return false;
    const {silentSinceMs, state} = observation;
    if (silentSinceMs !== undefined) {
      return nowMs - silentSinceMs < SILENT_LOAD_TIMEOUT_MS;
    }
    return state !== undefined && state.loadingVersion !== '';
  }

  /** Makes the part of a report that follows from the last observations. */
  makeSummary({
    engines,
    desired,
  }: OrderedService): Pick<OrderReport, 'asWanted' | 'outOfWork' | 'silent'> {
    let asWanted = 0;
    const outOfWork: string[] = [];
    const silent: string[] = [];
    for (const {id} of engines) {
      const last = this.timedObservations.get(id)?.observation;
      if (last === undefined) continue;
      if (last.silentSinceMs !== undefined) silent.push(id);
      else if (isChanging(last)) outOfWork.push(id);
      if (last.state === undefined) continue;
      if (planStep(desired, last.state).step === OrderStep.NONE) asWanted += 1;
    }
    return {asWanted, outOfWork, silent};
  }

  private chooseEngines(engines: readonly BackendServer[]): BackendServer[] {
    const byReadTime = [...engines].sort(
      (a, b) =>
        (this.timedObservations.get(a.id)?.atMs ?? 0) -
        (this.timedObservations.get(b.id)?.atMs ?? 0),
    );
    const changing = byReadTime.filter(({id}) =>
      isChanging(this.timedObservations.get(id)?.observation),
    );
    const others = byReadTime.filter(
      ({id}) => !isChanging(this.timedObservations.get(id)?.observation),
    );
    return [
      ...changing.slice(0, MAX_READS_PER_GROUP),
      ...others.slice(0, MAX_READS_PER_GROUP),
    ];
  }

  private read(server: BackendServer): Effect.Effect<void> {
    const {id} = server;
    return Effect.gen({self: this}, function* () {
      const answer = yield* this.control.fetchState(server).pipe(
        Effect.timeoutOption(this.readTimeoutMs),
        Effect.catch(() => Effect.succeedNone),
      );
      const nowMs = yield* Clock.currentTimeMillis;
      const previous = this.timedObservations.get(id)?.observation;
      if (answer._tag === 'Some') {
        const observation = {state: answer.value, silentSinceMs: undefined};
        this.timedObservations.set(id, {observation, atMs: nowMs});
        return;
      }
      const silentSinceMs = previous?.silentSinceMs ?? nowMs;
      if (previous?.silentSinceMs === undefined) {
        logger.log('An engine became silent: it did not report its state.', {
          engine: id,
        });
      }
      const observation = {state: previous?.state, silentSinceMs};
      this.timedObservations.set(id, {observation, atMs: nowMs});
    });
  }
}

function isChanging(observation: EngineObservation | undefined): boolean {
  const state = observation?.state;
  if (state === undefined) return false;
  return state.isDraining || state.loadingVersion !== '';
}
