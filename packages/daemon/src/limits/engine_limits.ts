import {Clock, Effect, FiberMap, type Scope} from 'effect';
import type {BackendError, EngineClient} from '@greengagecross/backend';
import {Logger, type BackendServer} from '@greengagecross/common';
import {AdaptiveLimit} from '@greengagecross/decisions';

/** Room that an engine is given until its first report arrives. */
const UNREPORTED_LIMIT = 8;
const logger = new Logger('limits');

/** What this daemon learned of one engine that it owns. */
interface FollowedEngine {
  readonly server: BackendServer;
  limit: AdaptiveLimit | undefined;
  isAnswering: boolean;
}

/** Gives the engines that this daemon owns now. */
export type ListOwnedEngines = (nowMs: number) => readonly BackendServer[];

/** Counts an engine's requests in flight by the owner's ledger. */
export type CountInFlight = (engine: string) => number;

/**
 * Asks the engines that this daemon owns for their load, one fiber for each,
 * and keeps the limit that follows from their reports.
 */
export class EngineLimits {
  private readonly followed = new Map<string, FollowedEngine>();

  constructor(
    private readonly engines: EngineClient,
    private readonly pollMs: number,
    private readonly listOwned: ListOwnedEngines,
    private readonly countInFlight: CountInFlight,
    private readonly onLeaving: (engine: string) => void,
    private readonly onWorking: (engine: string, saidAtMs: number) => void,
  ) {}

  /** Gets the most requests that may be in flight on an engine. */
  getLimit(engine: string): number {
    return this.followed.get(engine)?.limit?.getLimit() ?? UNREPORTED_LIMIT;
  }

  /** Starts and ends the fibers of engines as their ownership changes. */
  run(): Effect.Effect<never, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      const fibers = yield* FiberMap.make<string, never, never>();
      for (;;) {
        const owned = this.listOwned(yield* Clock.currentTimeMillis);
        const ids = new Set(owned.map(server => server.id));
        for (const id of this.followed.keys()) {
          if (ids.has(id)) continue;
          this.followed.delete(id);
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
    const engine: FollowedEngine = {
      server,
      limit: undefined,
      isAnswering: true,
    };
    this.followed.set(server.id, engine);
    return Effect.forever(
      Effect.andThen(
        this.poll(engine).pipe(
          Effect.catch(error => recordSilence(engine, error)),
        ),
        Effect.sleep(this.pollMs),
      ),
    );
  }

  private poll(engine: FollowedEngine): Effect.Effect<void, BackendError> {
    return Effect.gen({self: this}, function* () {
      const load = yield* this.engines.fetchLoad(engine.server);
      const nowMs = yield* Clock.currentTimeMillis;
      engine.isAnswering = true;
      if (load.leaving) this.onLeaving(engine.server.id);
      else this.onWorking(engine.server.id, nowMs - load.ageMs);
      // What the engine names is where the search for its limit begins.
      engine.limit ??= new AdaptiveLimit(Math.max(1, load.capacity));
      const report = {
        running: load.running,
        waiting: load.waiting,
        observedAtMs: nowMs - load.ageMs,
        inFlight: this.countInFlight(engine.server.id),
      };
      engine.limit.observe(report, nowMs);
    });
  }
}

function recordSilence(
  engine: FollowedEngine,
  error: BackendError,
): Effect.Effect<void> {
  return Effect.sync(() => {
    if (engine.isAnswering) {
      logger.log('An engine does not report its load.', {
        engine: engine.server.id,
        failure: error.failure,
      });
    }
    engine.isAnswering = false;
  });
}
