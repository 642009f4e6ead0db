import {Effect} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {PeerMethod, type PeerCaller} from '@greengagecross/peers';
import type {FleetStateSource} from '../ports/fleet_state_source.js';
import type {FleetState} from '../state/fleet_state.js';
import {
  FleetStateMessageSchema,
  type FleetStateMessage,
  type FleetStateQuery,
} from './fleet_state_message.js';
import type {Heartbeat} from './heartbeat.js';

/** Time that this daemon's own feed has to bring what a peer knows already. */
const FEED_GRACE_MS = 100;
/** A live peer answers within a few ms; a lost packet is sent again in 200. */
const FETCH_TIMEOUT_MS = 500;
/** Peers asked at the same time: one that is cut off holds up no other. */
const MAX_FETCHES = 3;
const logger = new Logger('state');

/**
 * Brings a daemon up to what its peers know.
 *
 * The list of backend servers comes from the peer, as changes alone. The
 * configuration is read from the store, since it may be too large to be passed
 * on by a few daemons to all others; from the peer if the store has none newer.
 */
export class StateCatchUp {
  /** Ids of the peers that are being asked. */
  private readonly asked = new Set<string>();

  constructor(
    private readonly state: FleetState,
    private readonly source: FleetStateSource,
    private readonly peers: PeerCaller,
  ) {}

  /** Tells whether a peer knows something newer. */
  isBehind(heartbeat: Heartbeat): boolean {
    return (
      this.isConfigurationBehind(heartbeat) ||
      heartbeat.backendsChange > this.state.backends.getRevision()
    );
  }

  /** Catches up with a peer unless the feed does so first. */
  run(heartbeat: Heartbeat): Effect.Effect<void> {
    const {id} = heartbeat;
    if (this.asked.has(id) || this.asked.size >= MAX_FETCHES) {
      return Effect.void;
    }
    this.asked.add(id);
    return Effect.gen({self: this}, function* () {
      if (this.source.isFollowing()) yield* Effect.sleep(FEED_GRACE_MS);
      if (!this.isBehind(heartbeat)) return;
      if (this.isConfigurationBehind(heartbeat)) {
        yield* this.source.readConfiguration(this.state);
      }
      const message = yield* this.peers.send(
        heartbeat.peers,
        PeerMethod.FETCH_FLEET_STATE,
        {
          isConfigurationWanted: this.isConfigurationBehind(heartbeat),
          backendsRevision: this.state.backends.getRevision(),
        },
        FleetStateMessageSchema,
        FETCH_TIMEOUT_MS,
      );
      this.apply(message, id);
    }).pipe(
      Effect.catch(error =>
        Effect.sync(() =>
          logger.log('A peer did not tell its state.', {
            peer: id,
            cause: error.message,
          }),
        ),
      ),
      Effect.ensuring(
        Effect.sync(() => {
          this.asked.delete(id);
        }),
      ),
    );
  }

  /** Makes the message that tells a peer what it does not know. */
  makeMessage(query: FleetStateQuery): FleetStateMessage {
    const {configuration, backends} = this.state;
    const view = configuration.getView();
    const isTold = query.isConfigurationWanted && view !== undefined;
    return {
      ...(isTold ? {configuration: view.configuration} : {}),
      backends: backends.listChanges(query.backendsRevision),
    };
  }

  private isConfigurationBehind(heartbeat: Heartbeat): boolean {
    const {configuration} = this.state;
    return heartbeat.configurationVersion > configuration.getVersion();
  }

  private apply(message: FleetStateMessage, peer: string): void {
    const nowMs = readSteadyMs();
    const {configuration, backends} = message;
    if (configuration !== undefined) {
      this.state.configuration.set(configuration, nowMs);
    }
    this.state.backends.applyPeerChanges(backends, nowMs);
    this.state.recordChange();
    logger.log('State was taken from a peer.', {
      peer,
      configuration: configuration?.version,
      backends: backends.revision,
      changed: backends.changed.length,
      removed: backends.removed.length,
    });
  }
}
