/** Stand-ins, fleets and loads for tests, the demo and benches. */
export * from './faults.js';
export * from './standin_kind.js';
export * from './platform/platform_server.js';
export * from './backends/engine_server.js';
export * from './backends/engine_profile.js';
export * from './backends/worker_server.js';
export * from './fleet/fleet.js';
export * from './fleet/fleet_plan.js';
