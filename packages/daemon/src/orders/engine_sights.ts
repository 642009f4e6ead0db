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

/** Engines of each kind, at work and changing, that are read in one round. */
const READS_PER_ROUND = 8;
/** A silent engine is taken to load no more after this long. */
const LOADING_SILENCE_MS = 60_000;
const logger = new Logger('orders');

interface Look {
  readonly sight: EngineObservation;
  readonly atMs: number;
}

/**
 * What the engines of one service said of themselves when they were last read.
 *
 * Those that change are read in each round, the others in turn, so that what a
 * late order changed is found without reading every engine all the time.
 */
export class EngineSights {
  private readonly looks = new Map<string, Look>();

  constructor(
    private readonly control: EngineControl,
    private readonly timeoutMs: number,
  ) {}

  /** Reads those engines whose turn it is; gives the ids of those read. */
  update(
    engines: readonly BackendServer[],
  ): Effect.Effect<ReadonlySet<string>> {
    const ids = new Set(engines.map(server => server.id));
    for (const id of this.looks.keys()) {
      if (!ids.has(id)) this.looks.delete(id);
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

  /** Gets what is known of engines, in their order. */
  get(
    engines: readonly BackendServer[],
  ): ReadonlyMap<string, EngineObservation | undefined> {
    return new Map(engines.map(({id}) => [id, this.looks.get(id)?.sight]));
  }

  /** Tells whether an engine loads, or may do so unseen. */
  isMaybeLoading(engine: string, nowMs: number): boolean {
    const sight = this.looks.get(engine)?.sight;
    if (sight === undefined) return false;
    const {silentSinceMs, state} = sight;
    if (silentSinceMs !== undefined) {
      return nowMs - silentSinceMs < LOADING_SILENCE_MS;
    }
    return state !== undefined && state.loadingVersion !== '';
  }

  /** Makes the part of a report that engines decide. */
  makeSummary({
    engines,
    desired,
  }: OrderedService): Pick<OrderReport, 'asWanted' | 'outOfWork' | 'silent'> {
    let asWanted = 0;
    const outOfWork: string[] = [];
    const silent: string[] = [];
    for (const {id} of engines) {
      const sight = this.looks.get(id)?.sight;
      if (sight === undefined) continue;
      if (sight.silentSinceMs !== undefined) silent.push(id);
      else if (isChanging(sight)) outOfWork.push(id);
      if (sight.state === undefined) continue;
      if (planStep(desired, sight.state).step === OrderStep.NONE) asWanted += 1;
    }
    return {asWanted, outOfWork, silent};
  }

  private chooseEngines(engines: readonly BackendServer[]): BackendServer[] {
    const byAge = [...engines].sort(
      (a, b) =>
        (this.looks.get(a.id)?.atMs ?? 0) - (this.looks.get(b.id)?.atMs ?? 0),
    );
    const changing = byAge.filter(({id}) =>
      isChanging(this.looks.get(id)?.sight),
    );
    const others = byAge.filter(
      ({id}) => !isChanging(this.looks.get(id)?.sight),
    );
    return [
      ...changing.slice(0, READS_PER_ROUND),
      ...others.slice(0, READS_PER_ROUND),
    ];
  }

  private read(server: BackendServer): Effect.Effect<void> {
    const {id} = server;
    return Effect.gen({self: this}, function* () {
      const answer = yield* this.control.fetchState(server).pipe(
        Effect.timeoutOption(this.timeoutMs),
        Effect.catch(() => Effect.succeedNone),
      );
      const nowMs = yield* Clock.currentTimeMillis;
      const old = this.looks.get(id)?.sight;
      if (answer._tag === 'Some') {
        const sight = {state: answer.value, silentSinceMs: undefined};
        this.looks.set(id, {sight, atMs: nowMs});
        return;
      }
      const silentSinceMs = old?.silentSinceMs ?? nowMs;
      if (old?.silentSinceMs === undefined) {
        logger.log('An engine does not say what it has loaded.', {engine: id});
      }
      const sight = {state: old?.state, silentSinceMs};
      this.looks.set(id, {sight, atMs: nowMs});
    });
  }
}

function isChanging(sight: EngineObservation | undefined): boolean {
  const state = sight?.state;
  if (state === undefined) return false;
  return state.isDraining || state.loadingVersion !== '';
}
