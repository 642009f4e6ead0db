export * from './buffer_budget.js';
export {ByteCollector} from './byte_collector.js';
/**
 * HTTP server with one fiber per connection, and HTTP client with keep-alive
 * connections; both count the bytes of their sockets.
 */
export * from './check_listener.js';
export * from './connection_pool.js';
export * from './discard_body.js';
export * from './exchange_timeouts.js';
export * from './free_ports.js';
export {isMalformedReply} from './malformed_reply_error.js';
export * from './liveness_connection.js';
export * from './heap_growth.js';
export * from './http_client.js';
export * from './http_error.js';
export * from './http_exchange.js';
export * from './http_failure.js';
export * from './http_reply.js';
export * from './http_server.js';
export * from './outgoing_request.js';
export * from './pooled_connection.js';
export * from './process_connections.js';
export * from './turn_scheduler.js';
export * from './read_body.js';
export * from './receipt_failures.js';
export * from './read_descriptor_limit.js';
export * from './request_phase.js';
export * from './socket_byte_counter.js';
