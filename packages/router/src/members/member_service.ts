import {Effect, FiberSet, type Scope} from 'effect';
import {
  Logger,
  readNowMs,
  readSteadyMs,
  type Address,
} from '@greengagecross/common';
import {
  computeFleetHeartbeatMs,
  isFollower,
  MIN_FLEET_HEARTBEAT_MS,
  type CrashCounts,
} from '@greengagecross/decisions';
import type {InFlight} from '../calls/in_flight.js';
import type {RouterSettings} from '../model/router_settings.js';
import type {FleetStateSource} from '../ports/fleet_state_source.js';
import type {MemberRegistry} from '../ports/member_registry.js';
import type {FleetState} from '../state/fleet_state.js';
import {DaemonState, type Heartbeat} from './heartbeat.js';
import {HeartbeatSocket} from './heartbeat_socket.js';
import type {MemberView} from './member_view.js';
import type {StateCatchUp} from './state_catch_up.js';

/** How long daemons found in the registry are called before they answer. */
const CONTACT_MS = 6000;
/** Time between reads of the registry while no other daemon is heard. */
const ALONE_INTERVAL_MS = 3000;
/** Most crash counts in one heartbeat; a datagram stays below 8 KB. */
const MAX_CRASHES = 20;
const logger = new Logger('members');

/** Exchanges heartbeats with all other daemons. */
export class MemberService {
  private readonly socket: HeartbeatSocket;
  private readonly incarnation = readNowMs();
  private sequence = 0;
  private last: Heartbeat | undefined;
  private lastSentAtMs = Number.NEGATIVE_INFINITY;
  private isLeaving = false;
  private contacts: readonly Address[] = [];
  private contactsEndMs = 0;
  private runFiber: ((effect: Effect.Effect<void>) => unknown) | undefined;

  constructor(
    private readonly settings: RouterSettings,
    private readonly state: FleetState,
    private readonly view: MemberView,
    private readonly inFlight: InFlight,
    private readonly crashes: CrashCounts,
    private readonly registry: MemberRegistry,
    private readonly source: FleetStateSource,
    private readonly catchUp: StateCatchUp,
  ) {
    this.socket = new HeartbeatSocket(settings.self.heartbeats, heartbeat =>
      this.receive(heartbeat),
    );
  }

  /** Starts; the scope ends it. */
  start(): Effect.Effect<void, never, Scope.Scope> {
    return Effect.gen({self: this}, function* () {
      const run = yield* FiberSet.makeRuntime<never, void, never>();
      this.runFiber = effect => run(effect);
      yield* this.socket.open();
      this.setContacts(this.listSeeds());
      yield* Effect.forkScoped(this.registry.add(this.settings.self));
      yield* Effect.forkScoped(this.runFinding());
      yield* Effect.forkScoped(this.runHeartbeats());
    });
  }

  /** From now on clients are sent to other daemons; tells them at once. */
  setLeaving(): void {
    this.isLeaving = true;
    this.sendHeartbeat();
  }

  /** Gets what this daemon can do for clients now. */
  getState(): DaemonState {
    if (this.isLeaving) return DaemonState.LEAVING;
    return this.state.isComplete() ? DaemonState.READY : DaemonState.STARTING;
  }

  private runHeartbeats(): Effect.Effect<never> {
    return Effect.forever(
      Effect.andThen(
        Effect.sync(() => {
          this.updateFollowing();
          if (this.isHeartbeatDue()) this.sendHeartbeat();
        }),
        Effect.sleep(MIN_FLEET_HEARTBEAT_MS),
      ),
    );
  }

  /** Reads the registry at the start, and again while alone. */
  private runFinding(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      for (;;) {
        if (this.view.listLive(readSteadyMs()).length === 0) {
          const found = yield* this.registry.list();
          const {self} = this.settings;
          const others = found.filter(({id}) => id !== self.id);
          const addresses = others.map(({heartbeats}) => heartbeats);
          this.setContacts([...addresses, ...this.listSeeds()]);
        }
        yield* Effect.sleep(ALONE_INTERVAL_MS);
      }
    });
  }

  private computeIntervalMs(): number {
    const daemons = this.view.listLive(readSteadyMs()).length + 1;
    return computeFleetHeartbeatMs(daemons);
  }

  /** What this daemon was the first to read from the store waits for nothing. */
  private isHeartbeatDue(): boolean {
    const {last} = this;
    if (last?.state !== this.getState()) return true;
    const dueAtMs = this.lastSentAtMs + this.computeIntervalMs();
    // Ticks come late rather than early; the next one would be too late.
    if (readSteadyMs() >= dueAtMs - MIN_FLEET_HEARTBEAT_MS / 2) return true;
    const {configuration, backends} = this.state;
    return (
      this.source.isFollowing() &&
      (last.configurationVersion !== configuration.getVersion() ||
        last.backendsChange !== backends.getVersion().changeRevision)
    );
  }

  private listSeeds(): Address[] {
    const {self, seeds} = this.settings;
    return seeds
      .filter(({host}) => host !== self.heartbeats.host)
      .map(({host}) => ({host, port: self.heartbeats.port}));
  }

  private setContacts(addresses: readonly Address[]): void {
    this.contacts = addresses;
    this.contactsEndMs = readSteadyMs() + CONTACT_MS;
  }

  /** A daemon without a configuration reads it itself, which is soonest. */
  private updateFollowing(): void {
    const others = this.view.listReady(readSteadyMs());
    const {id} = this.settings.self;
    const self = {id, isStoreReached: this.state.isStoreReached()};
    const isNeeded = !this.state.isComplete() || isFollower(self, others);
    if (isNeeded === this.source.isFollowing()) return;
    this.source.setFollowing(isNeeded);
    logger.log(
      isNeeded
        ? 'This daemon follows the store.'
        : 'This daemon leaves the store to others.',
      {heard: others.length, storeReached: self.isStoreReached},
    );
  }

  private sendHeartbeat(): void {
    const nowMs = readSteadyMs();
    const known = this.view.listKnown(nowMs).map(peer => peer.heartbeats);
    const hosts = new Set(known.map(({host}) => host));
    const contacts = nowMs < this.contactsEndMs ? this.contacts : [];
    const unknown = contacts.filter(({host}) => !hosts.has(host));
    this.last = this.makeHeartbeat();
    this.lastSentAtMs = nowMs;
    this.socket.send(this.last, [...known, ...unknown]);
  }

  private makeHeartbeat(): Heartbeat {
    this.sequence += 1;
    const {configuration, backends} = this.state;
    const crashes = this.crashes.list(MAX_CRASHES);
    return {
      ...this.settings.self,
      incarnation: this.incarnation,
      sequence: this.sequence,
      state: this.getState(),
      intervalMs: this.computeIntervalMs(),
      isStoreReached: this.state.isStoreReached(),
      configurationVersion: configuration.getVersion(),
      backendsChange: backends.getVersion().changeRevision,
      inFlight: this.inFlight.toRecord(),
      crashes: Object.fromEntries(
        crashes.map(count => [count.fingerprint, count.crashes]),
      ),
    };
  }

  private receive(heartbeat: Heartbeat): void {
    const nowMs = readSteadyMs();
    const isKnown = this.view.isKnown(heartbeat.id);
    const before = this.view.getState(heartbeat.id);
    if (!this.view.observe(heartbeat, nowMs)) return;
    if (before !== heartbeat.state) {
      logger.log('A daemon is heard.', {
        peer: heartbeat.id,
        state: heartbeat.state,
        before,
        incarnation: heartbeat.incarnation,
      });
    }
    // A new one learns of this daemon by the answer; all others know it.
    if (!isKnown) {
      this.socket.send(this.makeHeartbeat(), [heartbeat.heartbeats]);
    }
    for (const [fingerprint, count] of Object.entries(heartbeat.crashes)) {
      this.crashes.observe(fingerprint, count, nowMs);
    }
    if (this.catchUp.isBehind(heartbeat)) {
      this.runFiber?.(this.catchUp.run(heartbeat));
    } else if (heartbeat.isStoreReached) {
      this.state.recordConfirmed(nowMs);
    }
  }
}
