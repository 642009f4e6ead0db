import {Deferred, Effect, type Scope} from 'effect';
import {Logger, readSteadyMs, type Address} from '@greengagecross/common';
import {OWN_DELAY_SAMPLE_MS} from '@greengagecross/decisions';
import {
  HttpServer,
  type ExchangeHandler,
  type HttpError,
} from '@greengagecross/http';
import {DaemonState} from './members/heartbeat.js';
import {DEFAULT_CALLER_LIMITS} from './model/caller_limits.js';
import type {RouterSettings} from './model/router_settings.js';
import {RouterParts, type RouterPorts} from './router_parts.js';

/** Time until a client that sends nothing of its request is cut, in ms. */
const HEADERS_TIMEOUT_MS = 10_000;
const REQUEST_TIMEOUT_MS = 30_000;
/**
 * How long a daemon that leaves still takes requests, in ms: clients of a small
 * fleet have a new directory answer by then, and what began has time to end.
 */
const LEAVING_SERVED_MS = 3000;
/** Left of the grace when what still runs is cut, in ms. */
const CUT_MARGIN_MS = 400;
const TICK_MS = 250;
const IDLE_CHECK_MS = 100;
const logger = new Logger('daemon');

/** One router daemon, from its start to its graceful stop. */
export class RouterDaemon {
  private readonly parts: RouterParts;
  private readonly stopRequested = Deferred.makeUnsafe<void>();
  private readonly callers: HttpServer;
  private isRefusing = false;
  private stopGraceMs: number;

  constructor(
    private readonly settings: RouterSettings,
    ports: RouterPorts,
  ) {
    this.stopGraceMs = settings.stopGraceMs;
    this.parts = new RouterParts(settings, ports, () => this.isRefusing);
    this.callers = this.makeServer(settings.self.callers, exchange =>
      this.parts.calls.handle(exchange),
    );
  }

  /** Asks for a graceful stop; `run` ends when it is done. */
  stop(): void {
    Deferred.doneUnsafe(this.stopRequested, Effect.void);
  }

  /** Takes in settings that changed; addresses stay as they were. */
  setSettings(settings: RouterSettings): void {
    this.parts.budget.setBounds(settings.retryBounds);
    this.stopGraceMs = settings.stopGraceMs;
  }

  /** Runs until a stop was asked for and every request has ended. */
  run(): Effect.Effect<void, HttpError> {
    return Effect.scoped(
      Effect.gen({self: this}, function* () {
        yield* this.start();
        yield* Deferred.await(this.stopRequested);
        yield* this.finish();
      }),
    );
  }

  private start(): Effect.Effect<void, HttpError, Scope.Scope> {
    const {parts, settings} = this;
    const {access} = parts;
    return Effect.gen({self: this}, function* () {
      yield* this.listen(settings.readyListener, access.answerReady);
      yield* this.listen(settings.directoryListener, access.answerDirectory);
      yield* this.listen(settings.metricsListener, access.answerMetrics);
      yield* this.listen(settings.self.peers, access.answerPeer);
      yield* this.callers.start();
      yield* Effect.forkScoped(parts.ports.source.run(parts.state));
      yield* parts.members.start();
      yield* Effect.forkScoped(parts.engineEnds.run());
      yield* Effect.forkScoped(this.runTicks());
      yield* Effect.forkScoped(this.runDelaySamples());
      logger.log('The daemon listens.', {
        id: settings.self.id,
        callers: settings.self.callers.port,
        startMs: Math.round(readSteadyMs()),
      });
    });
  }

  /** Measures how late this process comes to do anything. */
  private runDelaySamples(): Effect.Effect<never> {
    const sample = Effect.sync(() =>
      this.parts.ownDelay.sample(readSteadyMs()),
    );
    return Effect.forever(
      Effect.andThen(sample, Effect.sleep(OWN_DELAY_SAMPLE_MS)),
    );
  }

  /** Applies limits that may change, and ends what is over. */
  private runTicks(): Effect.Effect<never> {
    const {state, health} = this.parts;
    const tick = Effect.sync(() => {
      const view = state.configuration.getView();
      const limits = view?.configuration.limits ?? DEFAULT_CALLER_LIMITS;
      this.callers.setKeepAliveMs(limits.idleTimeoutMs);
      state.backends.removeLapsed(readSteadyMs());
      health.removeAllBut(state.backends.listIds());
    });
    return Effect.forever(Effect.andThen(tick, Effect.sleep(TICK_MS)));
  }

  /**
   * Leaves without a cut: clients are sent elsewhere first, and whoever still
   * comes is served until none can hold an old directory answer any more.
   */
  private finish(): Effect.Effect<void> {
    const {members} = this.parts;
    return Effect.gen({self: this}, function* () {
      const startedAtMs = readSteadyMs();
      members.setLeaving();
      this.callers.setClosing();
      logger.log('The daemon is leaving.', {
        active: this.callers.countActive(),
      });
      const endMs = startedAtMs + this.stopGraceMs - CUT_MARGIN_MS;
      while (readSteadyMs() < endMs) {
        const isServed = readSteadyMs() - startedAtMs > LEAVING_SERVED_MS;
        this.isRefusing = isServed;
        if (isServed && this.callers.countActive() === 0) break;
        yield* Effect.sleep(IDLE_CHECK_MS);
      }
      logger.log('The daemon stops.', {
        cut: this.callers.countActive(),
        afterMs: Math.round(readSteadyMs() - startedAtMs),
        state: DaemonState.LEAVING,
      });
    });
  }

  private listen(
    address: Address,
    handler: ExchangeHandler,
  ): Effect.Effect<void, HttpError, Scope.Scope> {
    return this.makeServer(address, handler).start();
  }

  private makeServer(address: Address, handler: ExchangeHandler): HttpServer {
    return new HttpServer(
      {
        address,
        keepAliveMs: DEFAULT_CALLER_LIMITS.idleTimeoutMs,
        headersTimeoutMs: HEADERS_TIMEOUT_MS,
        requestTimeoutMs: REQUEST_TIMEOUT_MS,
      },
      handler,
    );
  }
}
