import type {Effect} from 'effect';
import type {FleetState} from '../state/fleet_state.js';

/** Follows the configuration and the list of backend servers where they last. */
export abstract class FleetStateSource {
  /** Puts what it reads into the state, for as long as it runs. */
  abstract run(state: FleetState): Effect.Effect<never>;

  /** Follows changes from now on, or leaves that to other daemons. */
  abstract setFollowing(isFollowing: boolean): void;

  /** Tells whether it follows changes. */
  abstract isFollowing(): boolean;

  /** Reads the configuration once; what fails is logged. */
  abstract readConfiguration(state: FleetState): Effect.Effect<void>;
}
