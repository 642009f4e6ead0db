/** Calls between daemons: JSON-RPC 2.0 over persistent HTTP connections. */
export * from './peer_method.js';
export * from './peer_error.js';
export * from './peer_messages.js';
export * from './peer_rpc.js';
export * from './peer_client.js';
export * from './peer_server.js';
export * from './configuration_messages.js';
export * from './crash_report.js';
export * from './suspect_messages.js';
