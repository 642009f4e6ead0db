import {Effect, FiberSet, type Scope} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {
  computeFleetHeartbeatMs,
  MIN_FLEET_HEARTBEAT_MS,
  WATCH_HEARTBEAT_MS,
  type CrashReport,
  type CrashSuspects,
  type FleetWatch,
  type LoadSums,
} from '@greengagecross/decisions';
import type {InFlightCounter} from '../calls/in_flight_counter.js';
import type {RouterSettings} from '../model/router_settings.js';
import type {FleetStateSource} from '../ports/fleet_state_source.js';
import type {MemberRegistry} from '../ports/member_registry.js';
import type {FleetState} from '../state/fleet_state.js';
import type {CrashGuard} from '../suspects/crash_guard.js';
import {SUSPECT_MESSAGE_KIND} from '../suspects/suspect_message.js';
import {isAdvertised, makeAdvertisedState} from './advertised_state.js';
import type {ConfigurationCatchUp} from './configuration_catch_up.js';
import {DaemonState, type Heartbeat} from './heartbeat.js';
import {HeartbeatCounts, hasCollectors} from './heartbeat_counts.js';
import {HeartbeatSocket} from './heartbeat_socket.js';
import {LoadExchange} from './load_exchange.js';
import type {MemberView} from './member_view.js';
import {PeerDiscovery} from './peer_discovery.js';
import {StoreFollowing} from './store_following.js';
import {SuspicionLog} from './suspicion_log.js';
import type {StateCatchUp} from './state_catch_up.js';

/** Maximum number of crash reports in a heartbeat. */
const MAX_SUSPECTS = 8;
/** Maximum number of crash reports in a datagram: keeps it below 8 KB. */
const MAX_SENT_SUSPECTS = 40;
const logger = new Logger('members');

/** Discovers the other daemons and exchanges heartbeats with them. */
export class MemberService {
  private readonly socket: HeartbeatSocket;
  private readonly loads: LoadExchange;
  private readonly counts: HeartbeatCounts;
  private sequence = 0;
  private lastHeartbeat: Heartbeat | undefined;
  private lastSentAtMs = Number.NEGATIVE_INFINITY;
  /** When the watchers were last sent a heartbeat, on the monotonic clock. */
  private lastWatchMs = Number.NEGATIVE_INFINITY;
  private readonly suspicionLog = new SuspicionLog();
  private isLeaving = false;
  private readonly discovery: PeerDiscovery;
  private readonly following: StoreFollowing;
  private runFiber: ((effect: Effect.Effect<void>) => unknown) | undefined;

  constructor(
    private readonly settings: RouterSettings,
    private readonly state: FleetState,
    private readonly view: MemberView,
    private readonly inFlight: InFlightCounter,
    private readonly suspects: CrashSuspects,
    private readonly guard: CrashGuard,
    registry: MemberRegistry,
    private readonly source: FleetStateSource,
    private readonly catchUp: StateCatchUp,
    private readonly configurationCatchUp: ConfigurationCatchUp,
    private readonly watch: FleetWatch,
    private readonly sums: LoadSums,
    private readonly incarnation: number,
  ) {
    const {self} = settings;
    this.discovery = new PeerDiscovery(settings, state, view, registry);
    this.following = new StoreFollowing(self.id, state, view, source);
    this.socket = new HeartbeatSocket(
      self.heartbeats,
      heartbeat => this.receive(heartbeat),
      message => this.loads.receive(message, readSteadyMs()),
      ({reports}) => this.guard.merge(reports, readSteadyMs()),
    );
    this.counts = new HeartbeatCounts(sums, (heartbeat, addresses) =>
      this.socket.send(heartbeat, addresses),
    );
    this.loads = new LoadExchange(self, view, sums, (message, addresses) =>
      this.socket.send(message, addresses),
    );
  }

  /** Starts discovery and heartbeats; both stop with the scope. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      const run = yield* FiberSet.makeRuntime<never, void, never>();
      this.runFiber = effect => run(effect);
      yield* this.socket.open();
      yield* Effect.forkScoped(this.discovery.runRegistration());
      yield* Effect.forkScoped(this.discovery.run());
      yield* Effect.forkScoped(this.runHeartbeats());
    });
  }

  /** Sends crash reports to all running daemons. */
  sendSuspects(reports: readonly CrashReport[]): void {
    const running = this.view.listRunning(readSteadyMs());
    const addresses = running.map(({heartbeats}) => heartbeats);
    for (let at = 0; at < reports.length; at += MAX_SENT_SUSPECTS) {
      const part = reports.slice(at, at + MAX_SENT_SUSPECTS);
      this.socket.send({kind: SUSPECT_MESSAGE_KIND, reports: part}, addresses);
    }
  }

  /** Marks this daemon as leaving and advertises the state immediately. */
  setLeaving(): void {
    this.isLeaving = true;
    this.sendHeartbeat();
  }

  /** Returns this daemon's current availability for clients. */
  getState(): DaemonState {
    if (this.isLeaving) return DaemonState.LEAVING;
    return this.state.isComplete() ? DaemonState.READY : DaemonState.STARTING;
  }

  /** Returns whether loads of other daemons must come in their heartbeats. */
  isMissingLoads(): boolean {
    return this.counts.isMissing(this.computeIntervalMs(), readSteadyMs());
  }

  private runHeartbeats(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(
        Effect.sync(() => {
          this.following.update(readSteadyMs());
          this.runTick();
        }),
        Effect.sleep(MIN_FLEET_HEARTBEAT_MS),
      ),
    );
  }

  /** Sends the heartbeats and loads that are due. */
  private runTick(): void {
    const nowMs = readSteadyMs();
    const toleranceMs = MIN_FLEET_HEARTBEAT_MS / 2;
    const intervalMs = this.computeIntervalMs();
    const watched = this.view.listWatched(nowMs);
    const versions = this.view.listVersions(nowMs);
    this.state.configuration.advertised.keepAdvertised(versions, nowMs);
    const isUrgent = this.watch.update(watched, intervalMs, nowMs);
    this.suspicionLog.update(this.view.listSuspected(nowMs));
    if (isUrgent || this.isHeartbeatDue()) {
      this.sendHeartbeat();
    } else if (nowMs - this.lastWatchMs >= WATCH_HEARTBEAT_MS - toleranceMs) {
      this.sendToWatchers(nowMs);
    }
    this.counts.logChange(intervalMs, nowMs);
    if (!hasCollectors(intervalMs)) return;
    this.sums.setHeartbeatIntervalMs(intervalMs);
    const counts = this.inFlight.toRecord();
    const isReady = this.getState() === DaemonState.READY;
    this.loads.runTick(counts, isReady, nowMs, toleranceMs);
  }

  private sendToWatchers(nowMs: number): void {
    const ids = this.watch.listRecipients(nowMs);
    if (ids.length === 0) return;
    this.lastWatchMs = nowMs;
    this.counts.send(this.makeHeartbeat(), this.view.findHeartbeats(ids));
  }

  /**
   * Computes the heartbeat interval. Discovered daemons count, also before their
   * first heartbeat: when all daemons start at once, each would otherwise send to
   * all others at the interval of a small fleet.
   */
  private computeIntervalMs(): number {
    const nowMs = readSteadyMs();
    const running = this.view.listRunning(nowMs).length;
    const discovered = this.discovery.listAddresses(nowMs).length;
    return computeFleetHeartbeatMs(Math.max(running, discovered) + 1);
  }

  /**
   * Returns whether the interval has elapsed, this daemon's state has changed, or
   * an update was read from the store, which peers must receive immediately.
   */
  private isHeartbeatDue(): boolean {
    const {lastHeartbeat} = this;
    if (lastHeartbeat?.state !== this.getState()) return true;
    const nowMs = readSteadyMs();
    const intervalMs = this.computeIntervalMs();
    const isMissingLoads = this.counts.isMissing(intervalMs, nowMs);
    // Peers send their counts with their next heartbeats only if they know.
    if (isMissingLoads && !lastHeartbeat.isMissingLoads) return true;
    const dueAtMs = this.lastSentAtMs + intervalMs;
    // Half a timer period early counts as due: the next check would be late.
    if (nowMs >= dueAtMs - MIN_FLEET_HEARTBEAT_MS / 2) return true;
    return (
      this.source.isFollowing() && !isAdvertised(lastHeartbeat, this.state)
    );
  }

  private sendHeartbeat(): void {
    const nowMs = readSteadyMs();
    const peers = this.view.listHeartbeatTargets(nowMs);
    const hosts = new Set(peers.map(({heartbeats}) => heartbeats.host));
    const newAddresses = this.discovery
      .listAddresses(nowMs)
      .filter(({host}) => !hosts.has(host));
    this.lastHeartbeat = this.makeHeartbeat();
    this.lastSentAtMs = nowMs;
    this.lastWatchMs = nowMs;
    this.counts.send(this.lastHeartbeat, peers, newAddresses);
  }

  private makeHeartbeat(): Heartbeat {
    this.sequence += 1;
    const nowMs = readSteadyMs();
    const intervalMs = this.computeIntervalMs();
    const isMissingLoads = this.counts.isMissing(intervalMs, nowMs);
    const view = this.state.configuration.getView();
    const hasColdServices = view?.configuration.coldServices !== undefined;
    return {
      ...this.settings.self,
      ...makeAdvertisedState(this.state),
      incarnation: this.incarnation,
      sequence: this.sequence,
      state: this.getState(),
      intervalMs,
      isStoreReached: this.state.isStoreReached(),
      inFlight: this.inFlight.toRecord(),
      ...(isMissingLoads ? {isMissingLoads} : {}),
      watchers: this.watch.getWatchers(),
      silent: this.watch.getSilent(),
      suspects: this.suspects.listReports(MAX_SUSPECTS, nowMs),
      ...(hasColdServices ? {isColdStateKnown: true} : {}),
      isConfigurationServed: true,
      crashes: {},
    };
  }

  private receive(heartbeat: Heartbeat): void {
    const nowMs = readSteadyMs();
    const hasPeer = this.view.hasPeer(heartbeat.id);
    const before = this.view.getState(heartbeat.id);
    if (!this.view.recordHeartbeat(heartbeat, nowMs)) return;
    if (before !== heartbeat.state) {
      logger.log('The state of a peer changed.', {
        peer: heartbeat.id,
        state: heartbeat.state,
        before,
        incarnation: heartbeat.incarnation,
      });
    }
    // A heartbeat in return announces this daemon to the new peer.
    if (!hasPeer) {
      this.counts.send(this.makeHeartbeat(), [heartbeat]);
    }
    this.guard.merge(heartbeat.suspects ?? [], nowMs);
    const {configurationVersion} = heartbeat;
    this.state.configuration.advertised.record(configurationVersion, nowMs);
    this.catchUp.applyEvacuated(heartbeat, nowMs);
    const parts = [this.catchUp, this.configurationCatchUp];
    const behind = parts.filter(part => part.isBehind(heartbeat));
    for (const part of behind) this.runFiber?.(part.run(heartbeat));
    if (behind.length === 0 && heartbeat.isStoreReached) {
      this.state.recordConfirmed(configurationVersion, nowMs);
    }
  }
}
