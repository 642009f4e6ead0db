import {Effect} from 'effect';
import {Logger, readSteadyMs} from '@greengagecross/common';
import {PeerMethod, type PeerError, type PeerRpc} from '@greengagecross/peers';
import type {RoutingConfiguration} from '../model/routing_configuration.js';
import type {FleetStateSource} from '../ports/fleet_state_source.js';
import type {FleetState} from '../state/fleet_state.js';
import {compareStoreVersions} from '../state/store_version.js';
import {makeBackendMessage, toBackendServer} from './backend_message.js';
import {
  FleetStateResultSchema,
  type FleetStateResult,
  type FleetStateQuery,
} from './fleet_state_message.js';
import {DaemonState, type Heartbeat} from './heartbeat.js';

/** Time for the store to deliver an advertised update to its followers. */
export const STORE_DELIVERY_MS = 100;
/**
 * Time for a pending fetch to deliver an advertised update before it is also
 * fetched from another peer. All followers of the store advertise an update at
 * the same time, so that every other daemon would otherwise fetch it from each.
 */
const PENDING_FETCH_MS = 100;
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
 * Updates the list of backend servers of a daemon when a peer advertises a newer
 * one. A configuration that is being fetched delays nothing here, see
 * `ConfigurationCatchUp`.
 */
export class StateCatchUp {
  /** Ids of the peers with a pending fetch. */
  private readonly pendingPeerIds = new Set<string>();

  constructor(
    private readonly state: FleetState,
    private readonly source: FleetStateSource,
    private readonly peers: PeerRpc,
  ) {}

  /** Returns whether a peer advertises a newer list than this daemon holds. */
  isBehind({storeEra: era = 0, backendsChange: revision}: Heartbeat): boolean {
    const held = this.state.backends.getVersion();
    return compareStoreVersions({era, revision}, held) > 0;
  }

  /** Adopts the evacuated availability zones of a heartbeat if newer. */
  applyEvacuated({id, state, evacuated}: Heartbeat, nowMs: number): void {
    if (evacuated !== undefined) {
      this.state.evacuated.acceptSet(evacuated, id, nowMs);
    } else if (state === DaemonState.READY) {
      this.state.evacuated.setLearned();
    }
    this.state.recordUpdate();
  }

  /**
   * Fetches a newer list from a peer, unless this daemon follows the store and
   * the store delivers it first, or a pending fetch does.
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
    const hasPending = this.pendingPeerIds.size > 0;
    this.pendingPeerIds.add(id);
    return Effect.gen({self: this}, function* () {
      const isStoreFirst = this.source.isFollowing();
      if (isStoreFirst) yield* Effect.sleep(STORE_DELIVERY_MS);
      else if (hasPending) yield* Effect.sleep(PENDING_FETCH_MS);
      if (!this.isBehind(heartbeat)) return;
      yield* this.fetch(heartbeat, false);
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

  /**
   * Fetches the changes of the list of backend servers from a peer, and its
   * configuration if wanted, and applies them.
   */
  fetch(
    heartbeat: Heartbeat,
    isConfigurationWanted: boolean,
  ): Effect.Effect<void, PeerError> {
    const query = this.makeQuery(heartbeat, isConfigurationWanted);
    return this.peers
      .send(
        heartbeat.peers,
        PeerMethod.FETCH_FLEET_STATE,
        query,
        FleetStateResultSchema,
        FETCH_TIMEOUT_MS,
      )
      .pipe(Effect.map(result => this.apply(result, heartbeat.id)));
  }

  /** Makes the result of a query: the state that the peer lacks. */
  makeResult(query: FleetStateQuery): FleetStateResult {
    const {configuration, backends} = this.state;
    const view = configuration.getView();
    const isColdIncluded = query.isColdStateWanted === true;
    const isConfigurationIncluded =
      query.isConfigurationWanted && view !== undefined;
    const {storeEra, backendsRevision: revision} = query;
    const {era, ...changes} = backends.listChanges({
      era: storeEra ?? 0,
      revision,
    });
    const nowMs = readSteadyMs();
    return {
      ...(isConfigurationIncluded
        ? {configuration: makeMessage(view.configuration, isColdIncluded)}
        : {}),
      ...(storeEra === undefined ? {} : {storeEra: era}),
      backends: {
        ...changes,
        changed: changes.changed.map(server =>
          makeBackendMessage(server, isColdIncluded, nowMs),
        ),
      },
    };
  }

  private makeQuery(
    {storeEra, isColdStateKnown}: Heartbeat,
    isConfigurationWanted: boolean,
  ): FleetStateQuery {
    const {era, revision} = this.state.backends.getVersion();
    return {
      isConfigurationWanted,
      backendsRevision: revision,
      ...(storeEra === undefined ? {} : {storeEra: era}),
      ...(isColdStateKnown === true ? {isColdStateWanted: true} : {}),
    };
  }

  private apply(result: FleetStateResult, peer: string): void {
    const nowMs = readSteadyMs();
    const {configuration, backends, storeEra: era = 0} = result;
    if (configuration !== undefined) {
      this.state.configuration.set(configuration, nowMs);
    }
    const changed = backends.changed.map(message =>
      toBackendServer(message, nowMs),
    );
    this.state.backends.applyPeerChanges({...backends, changed, era}, nowMs);
    this.state.recordUpdate();
    logger.log('State from a peer was applied.', {
      peer,
      configuration: configuration?.version,
      backends: backends.revision,
      era,
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
