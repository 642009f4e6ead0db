/** Clients of backend servers: of model engines and of plain services. */
export * from './chat_request.js';
export * from './backend_failure.js';
export * from './backend_error.js';
export * from './backend_headers.js';
export * from './backend_call.js';
export * from './engine_load.js';
export * from './engine_client.js';
export * from './http_engine_client.js';
export * from './service_client.js';
export * from './http_service_client.js';
export * from './to_backend_error.js';
export * from './orders/engine_order.js';
export * from './orders/engine_state.js';
export * from './orders/engine_control.js';
export * from './orders/http_engine_control.js';
