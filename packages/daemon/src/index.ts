/** The daemon's parts that benches and tests drive directly. */
export * from './daemon.js';
export * from './read_settings.js';
export type {DaemonState} from './control/state_dump.js';
export * from './claims/claim_book.js';
export * from './claims/claim_key.js';
export * from './claims/claim_record.js';
export * from './claims/claim_sweeper.js';
export * from './claims/group_commit.js';
export * from './claims/idempotency_key.js';
export * from './callers/chat_attempt.js';
export * from './callers/chat_dispatcher.js';
export * from './callers/answer_refusal.js';
export * from './callers/repeatable_dispatcher.js';
export * from './callers/service_job.js';
export * from './relay/chat_stream.js';
export * from './relay/stream_check.js';
export type {PlacementService} from './placement/placement_service.js';
export type {SlotBroker} from './placement/slot_broker.js';
