import {Deferred, Effect, type Scope} from 'effect';
import {Logger, readSteadyMs, type Address} from '@greengagecross/common';
import {
  computeMaxConnections,
  EVENT_LOOP_SAMPLE_INTERVAL_MS,
  type HedgeLimits,
} from '@greengagecross/decisions';
import {
  HttpServer,
  processBuffers,
  processConnections,
  processHeap,
  type ExchangeHandler,
  type HttpError,
} from '@greengagecross/http';
import {DaemonState} from './members/heartbeat.js';
import {DEFAULT_CALLER_LIMITS} from './model/caller_limits.js';
import type {RouterSettings} from './model/router_settings.js';
import {RouterParts, type RouterPorts} from './router_parts.js';

/**
 * Time until a connection without complete request headers is closed; a longer
 * one of the configuration applies. A shorter one does not: loss on a link and a
 * busy host delay the headers of clients that keep to it.
 */
const HEADERS_TIMEOUT_MS = 10_000;
/** Time in which a client must have sent its complete request. */
const REQUEST_TIMEOUT_MS = 30_000;
/**
 * Longest time that a stopping daemon still accepts requests. In this time
 * clients fetch a new directory answer, which they keep for up to two seconds.
 */
const MAX_ACCEPT_MS = 2800;
/**
 * The same as a share of the stop grace: what was accepted last needs the rest
 * to end. A client that is refused sends its request to another daemon.
 */
const ACCEPTED_SHARE = 0.35;
/** Time before the end of the stop grace at which open requests are aborted. */
const CLOSE_MARGIN_MS = 400;
/** Interval at which changed limits are applied and expired entries removed. */
const UPDATE_INTERVAL_MS = 250;
/**
 * Share of the process's memory for bodies that are being read. What they have
 * outgrown takes as much again until it is collected.
 */
const BUFFERED_SHARE = 0.12;
/**
 * Share of the process's memory for what connections of clients hold: requests
 * that wait, their bodies, and unsent responses. As much again is garbage that
 * is not collected yet.
 */
const CONNECTIONS_SHARE = 0.15;
/**
 * Share of the file descriptors for connections of clients. Each may need one
 * to a server, and all servers have fewer slots than these.
 */
const CLIENT_DESCRIPTOR_SHARE = 0.5;
/** The same for each of the other four listeners. */
const OTHER_DESCRIPTOR_SHARE = 0.05;
/** Interval at which a stopping daemon checks for open requests. */
const DRAIN_CHECK_MS = 100;
const logger = new Logger('daemon');

/** Lifecycle of one router daemon, from start to graceful stop. */
export class RouterDaemon {
  private readonly parts: RouterParts;
  private readonly stopRequested = Deferred.makeUnsafe<void>();
  private readonly clientServer: HttpServer;
  /** When the stop began, on the monotonic clock; undefined before it. */
  private stopStartedAtMs: number | undefined;
  private stopGraceMs: number;

  constructor(
    private readonly settings: RouterSettings,
    ports: RouterPorts,
  ) {
    this.stopGraceMs = settings.stopGraceMs;
    const {memoryBytes} = settings;
    if (memoryBytes !== undefined) {
      processHeap.start();
      processBuffers.setLimit(memoryBytes * BUFFERED_SHARE);
      processConnections.setLimit(memoryBytes * CONNECTIONS_SHARE);
    }
    this.parts = new RouterParts(
      settings,
      ports,
      () => this.isRefusing(),
      () => this.clientServer.isFull(),
    );
    this.clientServer = this.makeServer(
      settings.self.callers,
      CLIENT_DESCRIPTOR_SHARE,
      exchange => this.parts.calls.handle(exchange),
    );
  }

  /** Requests a graceful stop; `run` returns when the daemon has stopped. */
  stop(): void {
    Deferred.doneUnsafe(this.stopRequested, Effect.void);
  }

  /** Applies a changed retry budget, cold bound and stop grace; ignores others. */
  setSettings(settings: RouterSettings): void {
    this.parts.budget.setLimits(settings.retryLimits);
    this.parts.cold.setLimits(settings.coldLimits);
    this.stopGraceMs = settings.stopGraceMs;
  }

  /** Applies changed limits on hedged requests; undefined turns hedging off. */
  setHedgeLimits(limits: HedgeLimits | undefined): void {
    this.parts.hedging.setLimits(limits);
  }

  /**
   * Runs until a stop is requested and then until all requests have ended or the
   * stop grace has nearly elapsed.
   */
  run(): Effect.Effect<void, HttpError> {
    return Effect.scoped(
      Effect.gen({self: this}, function* () {
        yield* this.start();
        yield* Deferred.await(this.stopRequested);
        yield* this.runDrain();
      }),
    );
  }

  private start(): Effect.Effect<void, HttpError, Scope.Scope> {
    const {parts, settings} = this;
    const {endpoints} = parts;
    return Effect.gen({self: this}, function* () {
      yield* this.listen(settings.readyListener, endpoints.answerReady);
      yield* this.listen(settings.directoryListener, endpoints.answerDirectory);
      yield* this.listen(settings.metricsListener, endpoints.answerMetrics);
      yield* this.listen(settings.self.peers, endpoints.answerPeer);
      yield* this.clientServer.start();
      yield* Effect.forkScoped(parts.ports.source.run(parts.state));
      yield* parts.members.start();
      yield* Effect.forkScoped(parts.endedEngines.run());
      yield* Effect.forkScoped(this.runUpdates());
      yield* Effect.forkScoped(this.runDelaySamples());
      logger.log('The daemon listens.', {
        id: settings.self.id,
        callers: settings.self.callers.port,
        startMs: Math.round(readSteadyMs()),
      });
    });
  }

  /** Measures the event loop delay of this process periodically. */
  private runDelaySamples(): Effect.Effect<never> {
    const sample = Effect.sync(() =>
      this.parts.eventLoopDelay.sample(readSteadyMs()),
    );
    return Effect.forever(
      Effect.andThen(sample, Effect.sleep(EVENT_LOOP_SAMPLE_INTERVAL_MS)),
    );
  }

  /** Applies configuration changes and removes expired entries periodically. */
  private runUpdates(): Effect.Effect<never> {
    const {state, health, cold, refusals} = this.parts;
    const update = Effect.sync(() => {
      const view = state.configuration.getView();
      const limits = view?.configuration.limits ?? DEFAULT_CALLER_LIMITS;
      this.clientServer.setKeepAliveMs(limits.idleTimeoutMs);
      this.clientServer.setMaxHeaderBytes(limits.maxHeaderBytes);
      this.clientServer.setHeadersTimeoutMs(
        Math.max(limits.headerTimeoutMs, HEADERS_TIMEOUT_MS),
      );
      state.update(readSteadyMs());
      health.removeAllBut(state.backends.listIds());
      cold.update();
      refusals.update(readSteadyMs());
    });
    return Effect.forever(
      Effect.andThen(update, Effect.sleep(UPDATE_INTERVAL_MS)),
    );
  }

  /**
   * Removes the daemon from the directory, still accepts requests until cached
   * directory answers have expired, and refuses new requests after that. Requests
   * that are open CLOSE_MARGIN_MS before the end of the stop grace are aborted.
   */
  private runDrain(): Effect.Effect<void> {
    const {members} = this.parts;
    return Effect.gen({self: this}, function* () {
      const startedAtMs = readSteadyMs();
      this.stopStartedAtMs = startedAtMs;
      members.setLeaving();
      this.clientServer.setClosing();
      logger.log('The daemon is draining.', {
        active: this.clientServer.countActive(),
      });
      const endMs = startedAtMs + this.stopGraceMs - CLOSE_MARGIN_MS;
      while (readSteadyMs() < endMs) {
        if (this.isRefusing() && this.clientServer.countActive() === 0) break;
        yield* Effect.sleep(DRAIN_CHECK_MS);
      }
      logger.log('The daemon stops.', {
        cut: this.clientServer.countActive(),
        afterMs: Math.round(readSteadyMs() - startedAtMs),
        state: DaemonState.LEAVING,
      });
    });
  }

  /** Returns whether this daemon accepts no more requests, as it stops. */
  private isRefusing(): boolean {
    if (this.stopStartedAtMs === undefined) return false;
    const acceptMs = Math.min(MAX_ACCEPT_MS, ACCEPTED_SHARE * this.stopGraceMs);
    return readSteadyMs() - this.stopStartedAtMs > acceptMs;
  }

  private listen(
    address: Address,
    handler: ExchangeHandler,
  ): Effect.Effect<void, HttpError, Scope.Scope> {
    return this.makeServer(address, OTHER_DESCRIPTOR_SHARE, handler).start();
  }

  private makeServer(
    address: Address,
    descriptorShare: number,
    handler: ExchangeHandler,
  ): HttpServer {
    // The settings alone count: the limit that the system shows for this process
    // may not be the one of its host, and a low one closed ordinary clients.
    const {maxDescriptors = Infinity} = this.settings;
    return new HttpServer(
      {
        address,
        keepAliveMs: DEFAULT_CALLER_LIMITS.idleTimeoutMs,
        headersTimeoutMs: HEADERS_TIMEOUT_MS,
        requestTimeoutMs: REQUEST_TIMEOUT_MS,
        maxConnections: computeMaxConnections(maxDescriptors, descriptorShare),
      },
      handler,
    );
  }
}
