/** Decisions free of I/O: members, placement, limits and retries. */
export * from './members/member_table.js';
export * from './placement/engine_ledger.js';
export * from './placement/load_bound.js';
export * from './placement/placement_policy.js';
export * from './placement/home_placement.js';
export * from './placement/engine_owner.js';
export * from './limits/customer_limit.js';
export * from './retries/retry_budget.js';
export * from './limits/adaptive_limit.js';
export * from './limits/admission_request.js';
export * from './limits/class_demand.js';
export * from './limits/customer_subset.js';
export * from './limits/engine_admission.js';
export * from './limits/engine_ring.js';
export * from './limits/fair_queue.js';
export * from './retries/request_deadline.js';
export * from './retries/retry_policy.js';
