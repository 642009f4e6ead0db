import type {Effect} from 'effect';
import type {FleetState} from '../state/fleet_state.js';

/** Follows the configuration and the list of backend servers where they last. */
export abstract class FleetStateSource {
  /** Puts what it reads into the state, for as long as it runs. */
  abstract run(state: FleetState): Effect.Effect<never>;

  /** Reads both again at once, as when a peer knows more. */
  abstract wake(): void;
}
