import {Effect} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {PeerMethod, type PeerRpc} from '@greengagecross/peers';
import type {RoutingConfiguration} from '../model/routing_configuration.js';
import type {FleetStateSource} from '../ports/fleet_state_source.js';
import type {FleetState} from '../state/fleet_state.js';
import {makeBackendMessage, toBackendServer} from './backend_message.js';
import {
  FleetStateResultSchema,
  type FleetStateResult,
  type FleetStateQuery,
} from './fleet_state_message.js';
import type {Heartbeat} from './heartbeat.js';

/** Time for the store to deliver an advertised update to its followers. */
const STORE_DELIVERY_MS = 100;
/**
 * Timeout of the RPC. A running peer responds within a few milliseconds; a lost
 * packet is sent again after 200 ms.
 */
const FETCH_TIMEOUT_MS = 500;
/**
 * Maximum number of pending fetches; more than one, so that a peer behind a
 * network partition does not block other fetches.
 */
const MAX_CONCURRENT_FETCHES = 3;
const logger = new Logger('state');

/**
 * Updates the state of a daemon when a peer advertises newer state.
 *
 * Changes of the list of backend servers are fetched from the peer. The
 * configuration is read from the store, because it may be too large for a few
 * daemons to send to all others; it is fetched from the peer only if the store
 * read gives no newer version.
 */
export class StateCatchUp {
  /** Ids of the peers with a pending fetch. */
  private readonly pendingPeerIds = new Set<string>();

  constructor(
    private readonly state: FleetState,
    private readonly source: FleetStateSource,
    private readonly peers: PeerRpc,
  ) {}

  /** Returns whether a peer advertises newer state than this daemon holds. */
  isBehind(heartbeat: Heartbeat): boolean {
    return (
      this.isConfigurationBehind(heartbeat) ||
      heartbeat.backendsChange > this.state.backends.getRevision()
    );
  }

  /**
   * Fetches newer state from a peer, unless this daemon follows the store and
   * the store delivers that state first.
   *
   * Does nothing while a fetch from this peer or too many fetches are pending;
   * a failure is logged.
   */
  run(heartbeat: Heartbeat): Effect.Effect<void> {
    const {id} = heartbeat;
    if (
      this.pendingPeerIds.has(id) ||
      this.pendingPeerIds.size >= MAX_CONCURRENT_FETCHES
    ) {
      return Effect.void;
    }
    this.pendingPeerIds.add(id);
    return Effect.gen({self: this}, function* () {
      if (this.source.isFollowing()) yield* Effect.sleep(STORE_DELIVERY_MS);
      if (!this.isBehind(heartbeat)) return;
      if (this.isConfigurationBehind(heartbeat)) {
        yield* this.source.readConfiguration(this.state);
      }
      const result = yield* this.peers.send(
        heartbeat.peers,
        PeerMethod.FETCH_FLEET_STATE,
        {
          isConfigurationWanted: this.isConfigurationBehind(heartbeat),
          backendsRevision: this.state.backends.getRevision(),
          ...(heartbeat.isColdStateKnown === true
            ? {isColdStateWanted: true}
            : {}),
        },
        FleetStateResultSchema,
        FETCH_TIMEOUT_MS,
      );
      this.apply(result, id);
    }).pipe(
      Effect.catch(error =>
        Effect.sync(() =>
          logger.log('Fetching state from a peer failed.', {
            peer: id,
            cause: error.message,
          }),
        ),
      ),
      Effect.ensuring(
        Effect.sync(() => {
          this.pendingPeerIds.delete(id);
        }),
      ),
    );
  }

  /** Makes the result of a query: the state that the peer lacks. */
  makeResult(query: FleetStateQuery): FleetStateResult {
    const {configuration, backends} = this.state;
    const view = configuration.getView();
    const isColdIncluded = query.isColdStateWanted === true;
    const isConfigurationIncluded =
      query.isConfigurationWanted && view !== undefined;
    const changes = backends.listChanges(query.backendsRevision);
    const nowMs = readSteadyMs();
    return {
      ...(isConfigurationIncluded
        ? {configuration: makeMessage(view.configuration, isColdIncluded)}
        : {}),
      backends: {
        ...changes,
        changed: changes.changed.map(server =>
          makeBackendMessage(server, isColdIncluded, nowMs),
        ),
      },
    };
  }

  private isConfigurationBehind(heartbeat: Heartbeat): boolean {
    const {configuration} = this.state;
    return heartbeat.configurationVersion > configuration.getVersion();
  }

  private apply(result: FleetStateResult, peer: string): void {
    const nowMs = readSteadyMs();
    const {configuration, backends} = result;
    if (configuration !== undefined) {
      this.state.configuration.set(configuration, nowMs);
    }
    const changed = backends.changed.map(message =>
      toBackendServer(message, nowMs),
    );
    this.state.backends.applyPeerChanges({...backends, changed}, nowMs);
    this.state.recordUpdate();
    logger.log('State from a peer was applied.', {
      peer,
      configuration: configuration?.version,
      backends: backends.revision,
      changed: backends.changed.length,
      removed: backends.removed.length,
    });
  }
}

function makeMessage(
  {coldServices, ...configuration}: RoutingConfiguration,
  isColdIncluded: boolean,
): RoutingConfiguration {
  const isOmitted = coldServices === undefined || !isColdIncluded;
  return isOmitted ? configuration : {...configuration, coldServices};
}
