import type {Effect} from 'effect';
import type {FleetState} from '../state/fleet_state.js';

/** Source of the stored configuration and list of backend servers. */
export abstract class FleetStateSource {
  /** Applies updates from the store to `state` until interrupted. */
  abstract run(state: FleetState): Effect.Effect<never>;

  /**
   * Starts or stops following changes in the store; while stopped, this daemon
   * fetches updates from peers.
   */
  abstract setFollowing(isFollowing: boolean): void;

  /** Returns whether this daemon follows changes in the store. */
  abstract isFollowing(): boolean;

  /**
   * Returns whether a reply about the operator's table has begun and is still
   * arriving.
   */
  abstract isReceiving(): boolean;

  /** Reads the configuration once; a failure is logged, not returned. */
  abstract readConfiguration(state: FleetState): Effect.Effect<void>;
}
