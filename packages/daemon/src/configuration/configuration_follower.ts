import {Clock, Effect} from 'effect';
import {Logger, SeededRandom} from '@greengagecross/common';
import {
  ConfigurationError,
  type ConfigurationStore,
  type ReadError,
} from '@greengagecross/platform';
import {ConfigurationLoader, type LoadResult} from './configuration_loader.js';
import type {ConfigurationPeers} from './configuration_peers.js';
import type {ConfigurationState} from './configuration_state.js';
import {ConfigurationView} from './configuration_view.js';

const CHECK_INTERVAL_MS = 100;
/** Maximum wait at the start for the host list, which names peers to ask. */
const HOST_LIST_TIMEOUT_MS = 1000;
const JITTER_RATIO = 0.1;
const MS_PER_SECOND = 1000;
/** Maximum poll rate of all daemons together. */
const FLEET_POLLS_PER_SECOND = 200;
/** Minimum time between polls for newer revisions that peers advertise. */
const PEER_RETRY_MS = 500;
const logger = new Logger('configuration');

/** Settings of a configuration follower. */
export interface ConfigurationFollowerOptions {
  /** Interval between polls of the store and peers, before jitter. */
  readonly pollMs: number;
  /** Seed of the jitter. */
  readonly seed: number;
  /** Counts the live daemons, which share the maximum poll rate. */
  readonly countDaemons: () => number;
  /** Returns whether the host list was read. */
  readonly isHostListKnown: () => boolean;
}

/** Keeps the newest accepted configuration; its revision never decreases. */
export class ConfigurationFollower {
  private readonly loader: ConfigurationLoader;
  private readonly random: SeededRandom;
  private view: ConfigurationView | undefined;
  private storeRevision: number | undefined;
  private notCurrentSinceMs: number | undefined = 0;
  private refusal:
    {readonly reason: string; readonly sinceMs: number} | undefined;
  private refusals = 0;
  private nextPollMs = 0;
  private nextPeerPollMs = 0;

  constructor(
    store: ConfigurationStore,
    private readonly peers: ConfigurationPeers,
    private readonly options: ConfigurationFollowerOptions,
  ) {
    this.loader = new ConfigurationLoader(store, peers);
    this.random = new SeededRandom(options.seed);
  }

  /** Returns the configuration in force; undefined before the first. */
  getView(): ConfigurationView | undefined {
    return this.view;
  }

  /** Returns whether the last poll confirmed this revision as the newest. */
  isCurrent(): boolean {
    return this.notCurrentSinceMs === undefined;
  }

  /** Counts the polls that found an invalid revision, since the start. */
  countRefusals(): number {
    return this.refusals;
  }

  /**
   * Returns for how many seconds the configuration has not been confirmed; 0
   * while it is confirmed.
   */
  getUnconfirmedSeconds(nowMs: number): number {
    const {notCurrentSinceMs} = this;
    if (notCurrentSinceMs === undefined) return 0;
    return Math.max(0, nowMs - notCurrentSinceMs) / MS_PER_SECOND;
  }

  /** Returns the state of the configuration for operators. */
  getState(): ConfigurationState {
    const {view, refusal, notCurrentSinceMs, storeRevision} = this;
    return {
      revision: view?.revision ?? 0,
      digest: view?.digest ?? '',
      customers: view?.countCustomers() ?? 0,
      isCurrent: this.isCurrent(),
      ...(notCurrentSinceMs === undefined ? {} : {notCurrentSinceMs}),
      ...(storeRevision === undefined ? {} : {storeRevision}),
      ...(refusal === undefined
        ? {}
        : {refused: refusal.reason, refusedSinceMs: refusal.sinceMs}),
    };
  }

  /** Polls the store and peers at each interval; never ends. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      this.notCurrentSinceMs = startMs;
      // The store may show an old revision, so peers are asked too.
      while (!this.options.isHostListKnown()) {
        const nowMs = yield* Clock.currentTimeMillis;
        if (nowMs - startMs >= HOST_LIST_TIMEOUT_MS) break;
        yield* Effect.sleep(CHECK_INTERVAL_MS);
      }
      return yield* Effect.forever(
        Effect.andThen(this.pollIfDue(), Effect.sleep(CHECK_INTERVAL_MS)),
      );
    });
  }

  /** Looks for a newer revision once; an older revision is never applied. */
  poll(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      const result = yield* this.loader.find(this.view?.accepted, startMs);
      const nowMs = yield* Clock.currentTimeMillis;
      this.apply(result);
      this.recordError(result.error, nowMs);
      this.updateConfirmation(nowMs);
      this.nextPollMs = nowMs + this.computePollMs();
      this.nextPeerPollMs = nowMs + PEER_RETRY_MS;
    });
  }

  /** Polls when a poll is due or a peer advertises a newer revision. */
  private pollIfDue(): Effect.Effect<void> {
    return Effect.flatMap(Clock.currentTimeMillis, nowMs => {
      const isStorePollDue = nowMs >= this.nextPollMs;
      const isPeerPollDue =
        nowMs >= this.nextPeerPollMs && this.isBehindPeers(nowMs);
      return isStorePollDue || isPeerPollDue ? this.poll() : Effect.void;
    });
  }

  private isBehindPeers(nowMs: number): boolean {
    const revision = this.view?.revision ?? 0;
    return this.peers.list(nowMs).some(peer => peer.revision > revision);
  }

  private apply(result: LoadResult): void {
    this.storeRevision = result.storeRevision;
    const {accepted} = result;
    if (accepted === undefined) return;
    const {revision} = accepted.record;
    if (revision <= (this.view?.revision ?? 0)) return;
    this.view = new ConfigurationView(accepted);
    logger.log('A configuration is in force.', {revision});
  }

  private recordError(error: ReadError | undefined, nowMs: number): void {
    if (!(error instanceof ConfigurationError)) {
      if (error === undefined) this.refusal = undefined;
      if (error !== undefined && this.isCurrent()) {
        logger.log('The configuration cannot be read from the store.', {
          error: error.message,
        });
      }
      return;
    }
    this.refusals += 1;
    const [reason = ''] = error.message.split('\n');
    if (this.refusal?.reason === reason) return;
    this.refusal = {reason, sinceMs: nowMs};
    // `kept` is the revision in force, `shown` the one in the store.
    logger.log('A configuration is refused.', {
      kept: this.view?.revision ?? 0,
      shown: this.storeRevision,
      reason,
    });
  }

  private updateConfirmation(nowMs: number): void {
    const held = this.view?.revision ?? 0;
    const isConfirmed =
      this.storeRevision === held &&
      this.refusal === undefined &&
      !this.isBehindPeers(nowMs);
    if (isConfirmed) {
      this.notCurrentSinceMs = undefined;
      return;
    }
    if (this.notCurrentSinceMs !== undefined) return;
    this.notCurrentSinceMs = nowMs;
    // `held` is the revision in force, `shown` the one in the store.
    logger.log('The configuration may not be the newest.', {
      held,
      shown: this.storeRevision,
    });
  }

  /** Lengthens the interval in large fleets to stay within the poll rate. */
  private computePollMs(): number {
    const {pollMs, countDaemons} = this.options;
    const fleetMs = (countDaemons() * MS_PER_SECOND) / FLEET_POLLS_PER_SECOND;
    const jitter = 1 + JITTER_RATIO * (this.random.nextUnit() * 2 - 1);
    return Math.max(pollMs, fleetMs) * jitter;
  }
}
