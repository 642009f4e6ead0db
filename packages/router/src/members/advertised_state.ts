import type {FleetState} from '../state/fleet_state.js';
import type {Heartbeat} from './heartbeat.js';

/** Fields of a heartbeat that tell which state the sender holds. */
export type AdvertisedState = Required<
  Pick<
    Heartbeat,
    'configurationVersion' | 'backendsChange' | 'storeEra' | 'evacuated'
  >
>;

/** Makes the fields of a heartbeat for the state that this daemon holds. */
export function makeAdvertisedState(state: FleetState): AdvertisedState {
  const {configuration, backends, evacuated} = state;
  const {era, changeRevision} = backends.getVersion();
  return {
    configurationVersion: configuration.getVersion(),
    backendsChange: changeRevision,
    storeEra: era,
    evacuated: evacuated.getSet(),
  };
}

/** Returns whether a heartbeat told of the state that this daemon holds now. */
export function isAdvertised(last: Heartbeat, state: FleetState): boolean {
  const current = makeAdvertisedState(state);
  return (
    last.configurationVersion === current.configurationVersion &&
    last.backendsChange === current.backendsChange &&
    last.storeEra === current.storeEra &&
    last.evacuated?.zones === current.evacuated.zones &&
    last.evacuated.era === current.evacuated.era
  );
}
