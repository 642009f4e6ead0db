import {Effect} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {PeerMethod, type PeerCaller} from '@greengagecross/peers';
import type {FleetStateSource} from '../ports/fleet_state_source.js';
import type {FleetState} from '../state/fleet_state.js';
import {
  FleetStateMessageSchema,
  type FleetStateMessage,
} from './fleet_state_message.js';
import type {Heartbeat} from './heartbeat.js';

/** Time that the store's own feed has to bring what a peer knows already. */
const FEED_GRACE_MS = 150;
const FETCH_TIMEOUT_MS = 800;
const logger = new Logger('state');

/** Fetches from peers what the store's feed does not bring in time. */
export class StateCatchUp {
  private isRunning = false;

  constructor(
    private readonly state: FleetState,
    private readonly source: FleetStateSource,
    private readonly peers: PeerCaller,
  ) {}

  /** Tells whether a peer knows something newer. */
  isBehind(heartbeat: Heartbeat): boolean {
    const {configuration, backends} = this.state;
    return (
      heartbeat.configurationVersion > configuration.getVersion() ||
      heartbeat.backendsChange > backends.getRevision()
    );
  }

  /** Catches up with a peer unless the feed does so first. */
  run(heartbeat: Heartbeat): Effect.Effect<void> {
    if (this.isRunning) return Effect.void;
    this.isRunning = true;
    return Effect.gen({self: this}, function* () {
      yield* Effect.sleep(FEED_GRACE_MS);
      if (!this.isBehind(heartbeat)) return;
      this.source.wake();
      const message = yield* this.peers.send(
        heartbeat.peers,
        PeerMethod.FETCH_FLEET_STATE,
        {},
        FleetStateMessageSchema,
        FETCH_TIMEOUT_MS,
      );
      this.apply(message, heartbeat.id);
    }).pipe(
      Effect.catch(error =>
        Effect.sync(() =>
          logger.log('A peer did not tell its state.', {
            peer: heartbeat.id,
            cause: error.message,
          }),
        ),
      ),
      Effect.ensuring(
        Effect.sync(() => {
          this.isRunning = false;
        }),
      ),
    );
  }

  /** Makes the message that tells a peer all of this daemon's state. */
  makeMessage(): FleetStateMessage {
    const {configuration, backends} = this.state;
    const view = configuration.getView();
    return {
      ...(view === undefined ? {} : {configuration: view.configuration}),
      backends: backends.listAll(),
      ...backends.getVersion(),
    };
  }

  private apply(message: FleetStateMessage, peer: string): void {
    const nowMs = readSteadyMs();
    const {configuration, backends, revision, changeRevision} = message;
    if (configuration !== undefined) {
      this.state.configuration.set(configuration, nowMs);
    }
    if (revision >= 0) {
      this.state.backends.setAll(backends, {revision, changeRevision}, nowMs);
    }
    this.state.recordChange();
    logger.log('State was taken from a peer.', {
      peer,
      configuration: configuration?.version,
      backends: revision,
    });
  }
}
