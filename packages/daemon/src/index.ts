/** The daemon's parts that benches and tests drive directly. */
export * from './daemon.js';
export * from './read_settings.js';
export type {DaemonState} from './control/state_dump.js';
export * from './configuration/configuration_follower.js';
export * from './configuration/configuration_peers.js';
export * from './configuration/configuration_state.js';
export * from './claims/claim_book.js';
export * from './claims/claim_key.js';
export * from './claims/claim_record.js';
export * from './claims/claim_sweeper.js';
export * from './claims/group_commit.js';
export * from './claims/idempotency_key.js';
export * from './orders/order_holder.js';
export * from './hosts/host_follower.js';
export * from './members/member_service.js';
