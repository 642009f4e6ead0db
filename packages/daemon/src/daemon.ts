import {Clock, Deferred, Effect, type Scope} from 'effect';
import {
  Logger,
  type Address,
  type DaemonSettings,
  type FleetKeys,
} from '@greengagecross/common';
import {
  HttpServer,
  type ExchangeHandler,
  type HttpError,
} from '@greengagecross/http';
import {DaemonMetrics} from './metrics/daemon_metrics.js';
import {DaemonParts} from './wiring/daemon_parts.js';
import {makeCallerRouter} from './wiring/make_caller_router.js';
import {makeControlRouter} from './wiring/make_control_router.js';

const KEEP_ALIVE_MS = 15_000;
const HEADERS_TIMEOUT_MS = 10_000;
const logger = new Logger('daemon');

/** One daemon, from its start to its graceful stop. */
export class Daemon {
  private readonly parts: DaemonParts;
  private readonly stopRequested = Deferred.makeUnsafe<void>();
  private readonly callerServer: HttpServer;
  private readonly controlServer: HttpServer;
  private isStopping = false;

  constructor(settings: DaemonSettings, keys: FleetKeys, startedAtMs: number) {
    this.parts = new DaemonParts(settings, keys, startedAtMs);
    const metrics = this.makeMetrics();
    const callers = makeCallerRouter(this.parts, metrics);
    const control = makeControlRouter(this.parts, metrics, {
      drain: () => this.stop(),
      isReady: () => this.isReady(),
    });
    this.callerServer = this.makeServer(settings.callerListener, exchange =>
      callers.handle(exchange),
    );
    this.controlServer = this.makeServer(settings.controlListener, exchange =>
      control.handle(exchange),
    );
  }

  /** Asks for a graceful stop; `run` ends when it is done. */
  stop(): void {
    Deferred.doneUnsafe(this.stopRequested, Effect.void);
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
    const {parts} = this;
    return Effect.gen({self: this}, function* () {
      yield* Effect.addFinalizer(() => Effect.sync(() => parts.close()));
      yield* this.controlServer.start();
      yield* Effect.forkScoped(parts.configuration.run());
      yield* Effect.forkScoped(parts.hosts.run());
      yield* Effect.forkScoped(parts.members.run());
      yield* Effect.forkScoped(parts.keeper.run());
      yield* Effect.forkScoped(parts.commits.run());
      yield* Effect.forkScoped(parts.claims.run());
      yield* Effect.forkScoped(parts.sweeper.run());
      yield* this.callerServer.start();
      parts.members.setLive();
      const {id, callerListener, controlListener} = parts.settings;
      logger.log('The daemon listens.', {
        id,
        callers: callerListener.port,
        control: controlListener.port,
      });
    });
  }

  /**
   * Leaves in order: peers stop naming this daemon, answers of the directory
   * that name it run out, then the listener closes and requests end.
   */
  private finish(): Effect.Effect<void> {
    const {settings, tuning, members} = this.parts;
    return Effect.gen({self: this}, function* () {
      this.isStopping = true;
      members.setLeaving();
      this.callerServer.setClosing();
      logger.log('The daemon is leaving.', {id: settings.id});
      yield* Effect.sleep(tuning.directoryKeepMs);
      yield* this.callerServer
        .stop()
        .pipe(Effect.timeoutOption(tuning.stopGraceMs));
      logger.log('The daemon stops.', {
        id: settings.id,
        cut: this.callerServer.countActive(),
      });
    });
  }

  private isReady(): boolean {
    const hasView = this.parts.configuration.getView() !== undefined;
    return hasView && !this.isStopping;
  }

  private makeMetrics(): DaemonMetrics {
    const {members, configuration, controlClient} = this.parts;
    return new DaemonMetrics({
      countLiveMembers: () => members.countLive(),
      getRevision: () => configuration.getView()?.revision ?? 0,
      countRefusedConfigurations: () => configuration.countRefusals(),
      getUnconfirmedSeconds: () =>
        configuration.getUnconfirmedSeconds(Date.now()),
      countControlBytes: () =>
        this.controlServer.bytes.count() + controlClient.pool.bytes.count(),
      countInFlight: () => this.callerServer.countActive(),
    });
  }

  private makeServer(address: Address, handler: ExchangeHandler): HttpServer {
    const options = {
      address,
      keepAliveMs: KEEP_ALIVE_MS,
      headersTimeoutMs: HEADERS_TIMEOUT_MS,
      requestTimeoutMs: this.parts.tuning.callerSilenceMs,
    };
    return new HttpServer(options, handler);
  }
}

/** Makes a daemon whose incarnation is the time now. */
export function makeDaemon(
  settings: DaemonSettings,
  keys: FleetKeys,
): Effect.Effect<Daemon> {
  return Effect.map(
    Clock.currentTimeMillis,
    nowMs => new Daemon(settings, keys, nowMs),
  );
}
