import {Clock, Effect} from 'effect';
import {Logger, SeededRandom} from '@greengagecross/common';
import {
  ConfigurationError,
  type ConfigurationStore,
  type ReadError,
} from '@greengagecross/platform';
import {ConfigurationLoader, type Finding} from './configuration_loader.js';
import type {ConfigurationPeers} from './configuration_peers.js';
import type {ConfigurationState} from './configuration_state.js';
import {ConfigurationView} from './configuration_view.js';

const NEWS_CHECK_MS = 100;
/** How long a start waits to learn which daemons to ask. */
const HOST_LIST_WAIT_MS = 1000;
const JITTER_SHARE = 0.1;
const MS_PER_SECOND = 1000;
/** What all daemons together may poll. */
const FLEET_POLLS_PER_SECOND = 200;
/** How often a revision that could not be fetched is tried again. */
const NEWS_RETRY_MS = 500;
const logger = new Logger('configuration');

/** How often the store is polled. */
export interface FollowerOptions {
  readonly pollMs: number;
  readonly seed: number;
  readonly countDaemons: () => number;
  /** Whether it is known which daemons there are. */
  readonly isHostListKnown: () => boolean;
}

/** Keeps the newest accepted configuration; its revision never falls. */
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
  private nextNewsMs = 0;

  constructor(
    store: ConfigurationStore,
    private readonly peers: ConfigurationPeers,
    private readonly options: FollowerOptions,
  ) {
    this.loader = new ConfigurationLoader(store, peers);
    this.random = new SeededRandom(options.seed);
  }

  /** Gets the configuration in force, or undefined before the first. */
  getView(): ConfigurationView | undefined {
    return this.view;
  }

  /** Tells whether the last poll confirmed that this is the newest. */
  isCurrent(): boolean {
    return this.notCurrentSinceMs === undefined;
  }

  /** Counts the times that something in the store was refused. */
  countRefusals(): number {
    return this.refusals;
  }

  /** Gets for how many seconds the configuration was not confirmed. */
  getUnconfirmedSeconds(nowMs: number): number {
    const {notCurrentSinceMs} = this;
    if (notCurrentSinceMs === undefined) return 0;
    return Math.max(0, nowMs - notCurrentSinceMs) / MS_PER_SECOND;
  }

  /** Gets its state for operators. */
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

  /** Follows the store and peers for as long as the daemon runs. */
  run(): Effect.Effect<never> {
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      this.notCurrentSinceMs = startMs;
      // The store alone may show the past, so that peers are asked too.
      while (!this.options.isHostListKnown()) {
        const nowMs = yield* Clock.currentTimeMillis;
        if (nowMs - startMs >= HOST_LIST_WAIT_MS) break;
        yield* Effect.sleep(NEWS_CHECK_MS);
      }
      return yield* Effect.forever(
        Effect.andThen(this.pollIfDue(), Effect.sleep(NEWS_CHECK_MS)),
      );
    });
  }

  /** Looks for a newer revision once; an older one is never taken. */
  poll(): Effect.Effect<void> {
    return Effect.gen({self: this}, function* () {
      const startMs = yield* Clock.currentTimeMillis;
      const finding = yield* this.loader.find(this.view?.accepted, startMs);
      const nowMs = yield* Clock.currentTimeMillis;
      this.apply(finding);
      this.recordError(finding.error, nowMs);
      this.updateCurrent(nowMs);
      this.nextPollMs = nowMs + this.computePollMs();
      this.nextNewsMs = nowMs + NEWS_RETRY_MS;
    });
  }

  /** Polls when it is time, or when a peer told of a newer revision. */
  private pollIfDue(): Effect.Effect<void> {
    return Effect.flatMap(Clock.currentTimeMillis, nowMs => {
      const isDue = nowMs >= this.nextPollMs;
      const isNews = nowMs >= this.nextNewsMs && this.isBehindPeers(nowMs);
      return isDue || isNews ? this.poll() : Effect.void;
    });
  }

  private isBehindPeers(nowMs: number): boolean {
    const revision = this.view?.revision ?? 0;
    return this.peers.list(nowMs).some(peer => peer.revision > revision);
  }

  private apply(finding: Finding): void {
    this.storeRevision = finding.storeRevision;
    const {accepted} = finding;
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
        logger.log('The configuration cannot be read.', {error: error.message});
      }
      return;
    }
    this.refusals += 1;
    const [reason = ''] = error.message.split('\n');
    if (this.refusal?.reason === reason) return;
    this.refusal = {reason, sinceMs: nowMs};
    logger.log('A configuration is refused.', {
      kept: this.view?.revision ?? 0,
      shown: this.storeRevision,
      reason,
    });
  }

  private updateCurrent(nowMs: number): void {
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
    logger.log('The configuration may not be the newest.', {
      held,
      shown: this.storeRevision,
    });
  }

  /** Polls of a large fleet are spread, so that all stay within its share. */
  private computePollMs(): number {
    const {pollMs, countDaemons} = this.options;
    const fleetMs = (countDaemons() * MS_PER_SECOND) / FLEET_POLLS_PER_SECOND;
    const jitter = 1 + JITTER_SHARE * (this.random.nextUnit() * 2 - 1);
    return Math.max(pollMs, fleetMs) * jitter;
  }
}
