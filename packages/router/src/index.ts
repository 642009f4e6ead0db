/**
 * Routes client requests to backend servers, independent of the platform.
 *
 * A client is a process of the platform's users that sends requests; the
 * packages daemon and decisions, and names in messages, say caller. A backend
 * server runs requests: an engine runs a model, a worker serves a service
 * without prompts. One send of a request to a backend server is an attempt. A
 * backend server sends a reply; the client receives an answer. A peer is another
 * daemon of the fleet; daemons exchange heartbeats and RPCs. A call to the
 * platform's store is a store call.
 */
export * from './model/call_kind.js';
export * from './model/service_share.js';
export * from './model/route.js';
export * from './model/routed_customer.js';
export * from './model/caller_limits.js';
export * from './model/cold_limits.js';
export * from './model/routing_configuration.js';
export * from './model/backend_server.js';
export * from './model/client_call.js';
export * from './model/dispatch_fields.js';
export * from './model/backend_reply_head.js';
export * from './model/daemon_identity.js';
export * from './model/router_settings.js';
export * from './ports/call_codec.js';
export * from './ports/fleet_state_source.js';
export * from './ports/member_registry.js';
export * from './ports/ended_engines_store.js';
export * from './state/backend_registry.js';
export * from './state/current_configuration.js';
export * from './state/evacuated_zones.js';
export * from './state/fleet_state.js';
export * from './state/store_version.js';
export * from './router_parts.js';
export * from './router_daemon.js';
export * from './streams/event_splitter.js';
