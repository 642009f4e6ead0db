import {Clock, Effect, FiberMap, type Scope} from 'effect';
import type {BackendError, EngineClient} from '@greengagecross/backend';
import {Logger, type BackendServer} from '@greengagecross/common';
import {AdaptiveLimit} from '@greengagecross/decisions';

/** Limit of an engine without a load report, also of one not owned here. */
const INITIAL_LIMIT_REQUESTS = 8;
const logger = new Logger('limits');

/** State of one engine that this daemon owns and polls. */
interface PolledEngine {
  readonly server: BackendServer;
  /** Undefined until the first load report arrives. */
  limit: AdaptiveLimit | undefined;
  /** Whether the last poll succeeded; true before the first. */
  isAnswering: boolean;
}

/**
 * Lists the engines that this daemon owns, i.e. whose requests in flight this
 * daemon counts. `nowMs` is in milliseconds since the epoch.
 */
export type ListOwnedEngines = (nowMs: number) => readonly BackendServer[];

/** Counts an engine's requests in flight in this daemon's ledger. */
export type CountInFlight = (engine: string) => number;

/**
 * Polls the load of the engines that this daemon owns, with one fiber for each
 * engine, and computes each engine's limit from its reports.
 */
export class EngineLimits {
  private readonly polled = new Map<string, PolledEngine>();

  constructor(
    private readonly engines: EngineClient,
    private readonly pollMs: number,
    private readonly listOwned: ListOwnedEngines,
    private readonly countInFlight: CountInFlight,
    /** Called for each report of an engine that is leaving. */
    private readonly onLeaving: (engine: string) => void,
    /**
     * Called for each other report; the load was measured at `measuredAtMs`, in
     * milliseconds since the epoch.
     */
    private readonly onNotLeaving: (
      engine: string,
      measuredAtMs: number,
    ) => void,
  ) {}

  /**
   * Returns the limit of an engine's requests in flight, computed from its load
   * reports. The bound that placement computes can be lower.
   */
  getLimit(engine: string): number {
    return this.polled.get(engine)?.limit?.getLimit() ?? INITIAL_LIMIT_REQUESTS;
  }

  /** Starts and stops the fibers of engines as their ownership changes. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      const fibers = yield* FiberMap.make<string, never, never>();
      for (;;) {
        const owned = this.listOwned(yield* Clock.currentTimeMillis);
        const ids = new Set(owned.map(server => server.id));
        for (const id of this.polled.keys()) {
          if (ids.has(id)) continue;
          this.polled.delete(id);
          yield* FiberMap.remove(fibers, id);
        }
        for (const server of owned) {
          yield* FiberMap.run(fibers, server.id, this.runEngine(server), {
            onlyIfMissing: true,
          });
        }
        yield* Effect.sleep(this.pollMs);
      }
    });
  }

  private runEngine(server: BackendServer): Effect.Effect<never> {
    const engine: PolledEngine = {
      server,
      limit: undefined,
      isAnswering: true,
    };
    this.polled.set(server.id, engine);
    return Effect.forever(
      Effect.andThen(
        this.poll(engine).pipe(
          Effect.catch(error => recordPollFailure(engine, error)),
        ),
        Effect.sleep(this.pollMs),
      ),
    );
  }

  private poll(engine: PolledEngine): Effect.Effect<void, BackendError> {
    return Effect.gen({self: this}, function* () {
      const load = yield* this.engines.fetchLoad(engine.server);
      const nowMs = yield* Clock.currentTimeMillis;
      engine.isAnswering = true;
      if (load.leaving) this.onLeaving(engine.server.id);
      else this.onNotLeaving(engine.server.id, nowMs - load.ageMs);
      // The capacity reported by the engine is the initial value of its limit.
      engine.limit ??= new AdaptiveLimit(Math.max(1, load.capacity));
      const report = {
        running: load.running,
        queued: load.waiting,
        observedAtMs: nowMs - load.ageMs,
        inFlight: this.countInFlight(engine.server.id),
      };
      engine.limit.observe(report, nowMs);
    });
  }
}

function recordPollFailure(
  engine: PolledEngine,
  error: BackendError,
): Effect.Effect<void> {
  return Effect.sync(() => {
    if (engine.isAnswering) {
      logger.log('The load of an engine could not be fetched.', {
        engine: engine.server.id,
        failure: error.failure,
      });
    }
    engine.isAnswering = false;
  });
}
