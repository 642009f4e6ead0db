import {Effect} from 'effect';
import type {SeededRandom} from '@greengagecross/common';
import type {PeerRpc} from '@greengagecross/peers';
import {ConfigurationSource} from '../metrics/configuration_source.js';
import type {RouterMetrics} from '../metrics/router_metrics.js';
import {TransferOutcome} from '../metrics/transfer_outcome.js';
import type {DaemonIdentity} from '../model/daemon_identity.js';
import type {FleetStateSource} from '../ports/fleet_state_source.js';
import type {FleetState} from '../state/fleet_state.js';
import type {ConfigurationDocuments} from './configuration_documents.js';
import {ConfigurationHolderCalls} from './configuration_holder_calls.js';
import {
  ConfigurationHolders,
  type ConfigurationHolder,
} from './configuration_holders.js';
import {
  ConfigurationTransferLog,
  type ReceivedConfiguration,
} from './configuration_transfer_log.js';
import type {Heartbeat} from './heartbeat.js';
import {readClockMs} from './read_clock_ms.js';
import {STORE_DELIVERY_MS, type StateCatchUp} from './state_catch_up.js';

/** Maximum time in which a reply of the store keeps peers from being asked. */
const MAX_STORE_REPLY_MS = 1500;
const STORE_REPLY_CHECK_MS = 25;
/** Failed peers after which the store is read. */
const MAX_FAILED_PEERS = 2;
/** Answers without a configuration after which the store is read. */
const MAX_BUSY_ANSWERS = 40;
/** Time after which no further peer is asked and the store is read. */
const MAX_ASKING_MS = 10_000;
/** Peers of earlier releases that are asked after the store gave nothing. */
const MAX_EARLIER_PEERS = 2;
const FIRST_ROUND_PAUSE_MS = 200;
const MAX_ROUND_PAUSE_MS = 2000;

/**
 * Gets a newer configuration when a peer advertises one: from the store if this
 * daemon follows it, else from peers that hold it. At most one transfer is under
 * way, because several would share the same link and all end later.
 *
 * Peers have a limited budget to send it and refer to daemons that they have
 * served. The store is read after peers failed, and when none of them answers
 * the RPC.
 */
export class ConfigurationCatchUp {
  private readonly holders: ConfigurationHolders;
  private readonly transfers: ConfigurationTransferLog;
  private readonly holderCalls: ConfigurationHolderCalls;
  private isRunning = false;

  /** @param listRunning lists the last heartbeats of the running peers */
  constructor(
    self: DaemonIdentity,
    private readonly state: FleetState,
    private readonly source: FleetStateSource,
    peers: PeerRpc,
    listRunning: () => readonly Heartbeat[],
    documents: ConfigurationDocuments,
    private readonly catchUp: StateCatchUp,
    private readonly random: SeededRandom,
    metrics: RouterMetrics,
  ) {
    this.holders = new ConfigurationHolders(self, listRunning, random);
    this.transfers = new ConfigurationTransferLog(metrics);
    this.holderCalls = new ConfigurationHolderCalls(
      self,
      state,
      peers,
      documents,
      this.holders,
      this.transfers,
      random,
    );
  }

  /** Returns whether a peer advertises a newer configuration. */
  isBehind({configurationVersion}: Heartbeat): boolean {
    return configurationVersion > this.state.configuration.getVersion();
  }

  /**
   * Gets newer configurations until no running peer advertises one, unless that
   * is already under way; failures are logged.
   */
  run({configurationVersion}: Heartbeat): Effect.Effect<void> {
    return Effect.flatMap(readClockMs, nowMs => {
      this.transfers.recordAdvertised(configurationVersion, nowMs);
      if (this.isRunning) return Effect.void;
      this.isRunning = true;
      return Effect.ensuring(
        this.runRounds(),
        Effect.sync(() => {
          this.isRunning = false;
        }),
      );
    });
  }

  private runRounds(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      this.holders.startRounds();
      let pauseMs = FIRST_ROUND_PAUSE_MS;
      while (this.hasNewer()) {
        const heldVersion = this.getVersion();
        yield* this.runRound();
        if (this.getVersion() > heldVersion) {
          pauseMs = FIRST_ROUND_PAUSE_MS;
          continue;
        }
        yield* Effect.sleep(pauseMs * (0.5 + this.random.nextUnit() / 2));
        pauseMs = Math.min(2 * pauseMs, MAX_ROUND_PAUSE_MS);
      }
    });
  }

  /** Asks every source in turn, until one gives a newer configuration. */
  private runRound(): Effect.Effect<void> {
    const heldVersion = this.getVersion();
    return Effect.gen({self: this}, function* () {
      yield* this.waitForStore();
      yield* this.askHolders(heldVersion);
      if (this.isDone(heldVersion)) return;
      yield* Effect.raceFirst(this.readStore(), this.askOthers(heldVersion));
      const earlier = this.holders.listEarlierReleases(heldVersion);
      for (const peer of earlier.slice(0, MAX_EARLIER_PEERS)) {
        if (this.isDone(heldVersion)) return;
        yield* this.askEarlierPeer(peer);
      }
    });
  }

  /** Gives the store time to deliver the configuration to a follower. */
  private waitForStore(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      if (!this.source.isFollowing()) return;
      yield* Effect.sleep(STORE_DELIVERY_MS);
      const endMs = (yield* readClockMs) + MAX_STORE_REPLY_MS;
      while (this.source.isReceiving() && this.hasNewer()) {
        if ((yield* readClockMs) >= endMs) return;
        yield* Effect.sleep(STORE_REPLY_CHECK_MS);
      }
    });
  }

  /**
   * Asks the peers that hold a newer configuration, one after the other, until
   * one sends it, or too many fail, or none is left.
   */
  private askHolders(heldVersion: number): Effect.Effect<void> {
    const {holders} = this;
    return Effect.gen({self: this}, function* () {
      holders.startRound();
      const endMs = (yield* readClockMs) + MAX_ASKING_MS;
      let failedPeers = 0;
      let answers = 0;
      while (failedPeers < MAX_FAILED_PEERS && answers < MAX_BUSY_ANSWERS) {
        if (this.isDone(heldVersion)) return;
        const nowMs = yield* readClockMs;
        if (nowMs >= endMs) return;
        const holder = holders.choose(heldVersion, nowMs);
        if (holder !== undefined) {
          const hasAnswered = yield* Effect.raceFirst(
            this.holderCalls.ask(holder),
            this.askOthers(heldVersion, holder),
          );
          answers += Number(hasAnswered);
          failedPeers += Number(!hasAnswered);
          continue;
        }
        const waitMs = holders.computeWaitMs(heldVersion, nowMs);
        if (waitMs === undefined) return;
        yield* Effect.sleep(waitMs);
      }
    });
  }

  /** Asks other peers beside a source that is slow to send. */
  private askOthers(
    heldVersion: number,
    slowPeer?: ConfigurationHolder,
  ): Effect.Effect<boolean> {
    const isDone = (): boolean => this.isDone(heldVersion);
    return this.holderCalls.askOthers(heldVersion, isDone, slowPeer);
  }

  private readStore(): Effect.Effect<void> {
    const source = ConfigurationSource.STORE;
    return Effect.gen({self: this}, function* () {
      const heldVersion = this.getVersion();
      const startedAtMs = yield* readClockMs;
      yield* this.source.readConfiguration(this.state);
      yield* this.recordVersion({source, startedAtMs}, heldVersion);
    });
  }

  /** Fetches the whole state, as daemons of earlier releases send it. */
  private askEarlierPeer(heartbeat: Heartbeat): Effect.Effect<void> {
    const {id: peer} = heartbeat;
    const source = ConfigurationSource.EARLIER_PEER;
    return Effect.gen({self: this}, function* () {
      const heldVersion = this.getVersion();
      const startedAtMs = yield* readClockMs;
      yield* this.catchUp.fetch(heartbeat, true);
      yield* this.recordVersion({source, startedAtMs, peer}, heldVersion);
    }).pipe(
      Effect.catch(error =>
        Effect.sync(() =>
          this.transfers.recordFailure(source, peer, error.message),
        ),
      ),
    );
  }

  private recordVersion(
    attempt: Omit<ReceivedConfiguration, 'version'>,
    heldVersion: number,
  ): Effect.Effect<void> {
    return Effect.map(readClockMs, nowMs => {
      const version = this.getVersion();
      if (version > heldVersion) {
        this.transfers.recordReceived({...attempt, version}, nowMs);
      } else {
        const {UNCHANGED} = TransferOutcome;
        this.transfers.recordAttempt(attempt.source, UNCHANGED);
      }
    });
  }

  private getVersion(): number {
    return this.state.configuration.getVersion();
  }

  private hasNewer(): boolean {
    return this.holders.findNewestVersion() > this.getVersion();
  }

  private isDone(heldVersion: number): boolean {
    return this.getVersion() > heldVersion || !this.hasNewer();
  }
}
