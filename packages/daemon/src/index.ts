/** The daemon's parts that benches and tests drive directly. */
export * from './daemon.js';
export * from './read_settings.js';
export type {DaemonState} from './control/state_dump.js';
