import {Clock, Deferred, Effect, type Scope} from 'effect';
import {
  Logger,
  MemberState,
  readNowMs,
  type Address,
  type DaemonSettings,
  type FleetKeys,
} from '@greengagecross/common';
import {computeMaxConnections} from '@greengagecross/decisions';
import {
  HttpServer,
  readDescriptorLimit,
  type ExchangeHandler,
  type HttpError,
} from '@greengagecross/http';
import {buildMalformedHeaders} from './callers/answer_refusal.js';
import {ControlKind} from './metrics/control_kind.js';
import {DaemonMetrics} from './metrics/daemon_metrics.js';
import {GracefulStop} from './stopping/graceful_stop.js';
import {DaemonParts} from './wiring/daemon_parts.js';
import {makeCallerRouter} from './wiring/make_caller_router.js';
import {makeControlRouter} from './wiring/make_control_router.js';

const MIN_KEEP_ALIVE_MS = 1000;
const CONTROL_KEEP_ALIVE_MS = 15_000;
const HEADERS_TIMEOUT_MS = 10_000;
/** Shares of the file descriptors; the rest is for connections of its own. */
const CALLER_DESCRIPTOR_SHARE = 0.5;
const CONTROL_DESCRIPTOR_SHARE = 0.15;
const JOIN_CHECK_INTERVAL_MS = 50;
const logger = new Logger('daemon');

/** One daemon, from its start to the end of its stop. */
export class Daemon {
  private readonly parts: DaemonParts;
  private readonly stopRequested = Deferred.makeUnsafe<void>();
  private readonly forcedStopRequested = Deferred.makeUnsafe<void>();
  private readonly callerServer: HttpServer;
  private readonly controlServer: HttpServer;

  constructor(settings: DaemonSettings, keys: FleetKeys, startedAtMs: number) {
    this.parts = new DaemonParts(settings, keys, startedAtMs);
    const metrics = this.makeMetrics();
    const callers = makeCallerRouter(
      this.parts,
      metrics,
      Deferred.await(this.forcedStopRequested),
    );
    const control = makeControlRouter(this.parts, metrics, {
      drain: () => this.stop(),
      isReady: () => this.isReady(),
      isAlive: () => this.isAlive(),
    });
    this.callerServer = this.makeServer(
      settings.callerListener,
      this.computeKeepAliveMs(),
      CALLER_DESCRIPTOR_SHARE,
      exchange => callers.handle(exchange),
      () => callers.recordMalformedRequest(),
    );
    this.controlServer = this.makeServer(
      settings.controlListener,
      CONTROL_KEEP_ALIVE_MS,
      CONTROL_DESCRIPTOR_SHARE,
      exchange => control.handle(exchange),
    );
  }

  /** Requests a graceful stop; `run` ends when the stop is complete. */
  stop(): void {
    Deferred.doneUnsafe(this.stopRequested, Effect.void);
  }

  /**
   * Stops without waiting for requests: ends those in flight, each with an
   * answer if that succeeds within about 3 s.
   */
  stopNow(): void {
    this.stop();
    Deferred.doneUnsafe(this.forcedStopRequested, Effect.void);
  }

  /**
   * Runs until a stop was requested and every request has ended or the time to
   * end them has passed. Fails if a listener cannot be opened.
   */
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
    const {parts} = this;
    return Effect.gen({self: this}, function* () {
      yield* Effect.addFinalizer(() => Effect.sync(() => parts.close()));
      yield* this.controlServer.start();
      yield* Effect.forkScoped(parts.configuration.run());
      yield* Effect.forkScoped(parts.hosts.run());
      yield* Effect.forkScoped(parts.members.run());
      yield* Effect.forkScoped(parts.slots.run());
      yield* Effect.forkScoped(parts.suspects.broadcaster.run());
      yield* Effect.forkScoped(parts.suspects.catchUp.run());
      yield* Effect.forkScoped(parts.limits.run());
      yield* Effect.forkScoped(parts.commits.run());
      yield* Effect.forkScoped(parts.claims.run());
      yield* Effect.forkScoped(parts.sweeper.run());
      yield* Effect.forkScoped(parts.orders.run());
      yield* this.callerServer.start();
      yield* Effect.forkScoped(this.runJoining());
      yield* Effect.forkScoped(this.watchOwnHost());
      const {id, callerListener, controlListener} = parts.settings;
      logger.log('The daemon listens.', {
        id,
        callers: callerListener.port,
        control: controlListener.port,
      });
    });
  }

  /**
   * Announces this daemon as live once it has a configuration and has read the
   * host list, or has waited for the list for two platform time-outs.
   */
  private runJoining(): Effect.Effect<void> {
    const {configuration, members, hosts, tuning} = this.parts;
    return Effect.gen(function* () {
      const startMs = yield* Clock.currentTimeMillis;
      const endMs = startMs + 2 * tuning.platformTimeoutMs;
      for (;;) {
        const nowMs = yield* Clock.currentTimeMillis;
        const isJoinAllowed = hosts.isCurrent() || nowMs >= endMs;
        if (configuration.getView() !== undefined && isJoinAllowed) break;
        yield* Effect.sleep(JOIN_CHECK_INTERVAL_MS);
      }
      members.setLive();
    });
  }

  /** Stops gracefully when the platform is about to remove the host. */
  private watchOwnHost(): Effect.Effect<void> {
    const {hosts, settings, tuning} = this.parts;
    return Effect.gen({self: this}, function* () {
      while (!hosts.isLeaving(settings.id)) {
        yield* Effect.sleep(tuning.hostListPollMs);
      }
      this.stop();
    });
  }

  private finish(): Effect.Effect<void> {
    const {settings, members} = this.parts;
    const graceful = new GracefulStop(
      this.parts,
      this.callerServer,
      this.computeKeepAliveMs(),
    );
    return Effect.gen({self: this}, function* () {
      members.setLeaving();
      logger.log('The daemon is draining.', {id: settings.id});
      const forcedStop = Deferred.await(this.forcedStopRequested);
      yield* Effect.raceFirst(graceful.run(), forcedStop);
      const activeRequests = this.callerServer.countActive();
      // Ends requests that outlasted the grace period.
      this.stopNow();
      yield* graceful.finishForcedStop();
      logger.log('The daemon stops.', {id: settings.id, cut: activeRequests});
    });
  }

  private countControlBytes(kind: ControlKind): number {
    const {peerClient, platformClient, claimClient} = this.parts;
    switch (kind) {
      case ControlKind.CALLS:
        return peerClient.pool.bytes.count();
      case ControlKind.ANSWERS:
        return this.controlServer.bytes.count();
      case ControlKind.PLATFORM:
        return platformClient.pool.bytes.count();
      case ControlKind.CLAIMS:
        return claimClient.pool.bytes.count();
    }
  }

  private isReady(): boolean {
    const hasView = this.parts.configuration.getView() !== undefined;
    return hasView && this.parts.members.getState() === MemberState.LIVE;
  }

  private isAlive(): boolean {
    return this.parts.members.isRunning(readNowMs());
  }

  /** Callers may reuse a connection as long as they keep a directory answer. */
  private computeKeepAliveMs(): number {
    return Math.max(MIN_KEEP_ALIVE_MS, this.parts.tuning.directoryKeepMs);
  }

  private makeMetrics(): DaemonMetrics {
    const {members, configuration, orders, suspects} = this.parts;
    return new DaemonMetrics({
      countLiveMembers: () => members.countLive(),
      getConfigurationRevision: () => configuration.getView()?.revision ?? 0,
      countRefusedConfigurations: () => configuration.countRefusals(),
      getConfigurationUnconfirmedSeconds: () =>
        configuration.getUnconfirmedSeconds(readNowMs()),
      countControlBytes: kind => this.countControlBytes(kind),
      countRequestsInFlight: () => this.callerServer.countActive(),
      countOrderLeases: () => orders.listReports(readNowMs()).length,
      countEnginesNotAsWanted: () =>
        orders.countEnginesNotAsWanted(readNowMs()),
      countOrdersSent: () => orders.countSentOrders(),
      describeSuspects: () => suspects.describe(readNowMs()),
    });
  }

  private makeServer(
    address: Address,
    keepAliveMs: number,
    descriptorShare: number,
    handler: ExchangeHandler,
    onMalformed = buildMalformedHeaders,
  ): HttpServer {
    const maxDescriptors = readDescriptorLimit() ?? Infinity;
    const options = {
      address,
      keepAliveMs,
      maxConnections: computeMaxConnections(maxDescriptors, descriptorShare),
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      requestTimeoutMs: this.parts.tuning.callerSilenceMs,
      stallTimeoutMs: this.parts.tuning.callerSilenceMs,
      // The caller listener's callback also counts the malformed request.
      buildMalformedHeaders: onMalformed,
    };
    return new HttpServer(options, handler);
  }
}

/**
 * Makes a daemon. Its incarnation, which distinguishes the daemon from earlier
 * processes with the same id, is the current time in milliseconds.
 */
export function makeDaemon(
  settings: DaemonSettings,
  keys: FleetKeys,
): Effect.Effect<Daemon> {
  return Effect.map(
    Clock.currentTimeMillis,
    nowMs => new Daemon(settings, keys, nowMs),
  );
}
