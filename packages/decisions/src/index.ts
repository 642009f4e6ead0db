/**
 * Decision logic without I/O: membership, placement, limits, retries, orders to
 * engines, crash attribution, reuse of prompt prefixes and choice of workers.
 *
 * Two daemons use this package, each with its own set of classes.
 * - Package `daemon`: `MemberTable` and its heartbeats between neighbours,
 *   `SuspectRegistry`, `CostPlacement`, `BudgetedRetryPolicy`, limits and
 *   orders. Its times are milliseconds since the epoch.
 * - Package `router`: heartbeats from every daemon to every other,
 *   `CrashSuspects`, `ServerNotices`, `PromptPlacement`, `FleetRetryBudget`,
 *   `HedgePolicy`, `EventLoopDelay` and
 *   the choice of workers. Its times are milliseconds of the monotonic clock,
 *   `CrashSuspects`, `ServerNotices`, `PromptPlacement`, `FleetRetryBudget`, `EventLoopDelay`,
 *   `ColdServerLimit` and the choice of workers. Its times are milliseconds of the monotonic clock,
 *   but for `PromptPlacement`: milliseconds since the epoch.
 *
 * A caller sends requests; package `router` calls the same role a client. A
 * backend server runs requests: an engine is one that runs a model, a worker
 * one of a service without prompts. A fleet is all daemons, without the
 * servers.
 */
export * from './members/member_table.js';
export * from './members/member_order.js';
export * from './members/neighbour_policy.js';
export * from './members/ring_neighbours.js';
export * from './members/peer_sync_state.js';
export * from './members/fleet_heartbeats.js';
export * from './members/fleet_size.js';
export * from './members/fleet_watch.js';
export * from './members/heartbeat_interval.js';
export * from './members/load_sums.js';
export * from './members/poll_interval.js';
export * from './members/relayed_statuses.js';
export * from './members/reply_timeout.js';
export * from './placement/engine_ledger.js';
export * from './placement/load_bound.js';
export * from './placement/placement_policy.js';
export * from './placement/cost_placement.js';
export * from './placement/placement_costs.js';
export * from './placement/service_times.js';
export * from './placement/earlier_engine.js';
export * from './placement/engine_group.js';
export * from './placement/load_snapshot.js';
export * from './placement/owner_table.js';
export * from './placement/rendezvous_hash.js';
export * from './placement/slot_authority.js';
export * from './placement/decision_log.js';
export * from './limits/customer_limit.js';
export * from './limits/customer_share.js';
export * from './placement/customer_engine_selector.js';
export * from './placement/engine_ring.js';
export * from './retries/retry_budget.js';
export * from './limits/adaptive_limit.js';
export * from './limits/admission_request.js';
export * from './limits/class_demand.js';
export * from './limits/engine_admission.js';
export * from './limits/engine_occupancy.js';
export * from './limits/event_loop_delay.js';
export * from './limits/waiting_list.js';
export * from './limits/cold_bound.js';
export * from './limits/cold_server_limit.js';
export * from './limits/cold_server_states.js';
export * from './retries/request_deadline.js';
export * from './retries/retry_policy.js';
export * from './orders/lease_term.js';
export * from './orders/lease_watch.js';
export * from './orders/plan_orders.js';
export * from './orders/engine_observation.js';
export * from './orders/plan_rollout.js';
export * from './limits/capacity_rule.js';
export * from './suspects/suspect_entry.js';
export * from './suspects/suspect_registry.js';
export * from './suspects/trial.js';
export * from './suspects/trial_table.js';
export * from './prompts/prompt_part.js';
export * from './prompts/engine_load.js';
export * from './prompts/prompt_choice.js';
export * from './prompts/prompt_placement.js';
export * from './workers/worker_result.js';
export * from './workers/worker_health.js';
export * from './workers/worker_load.js';
export * from './workers/server_notices.js';
export * from './workers/choose_worker.js';
export * from './retries/fleet_retry_budget.js';
export * from './retries/hedge_limits.js';
export * from './retries/hedge_policy.js';
export * from './suspects/cut_attempts.js';
export * from './suspects/suspect_ids.js';
export * from './suspects/choose_condemned.js';
export * from './suspects/crashed_servers.js';
export * from './suspects/crash_report.js';
export * from './suspects/crash_suspects.js';
export * from './prompts/warm_engines.js';
export * from './prompts/engine_history.js';
export * from './members/choose_follower.js';
export * from './members/known_members.js';
export * from './limits/connection_load.js';
export * from './limits/connection_slots.js';
export * from './limits/receipt_timer.js';
export * from './limits/turn_budget.js';
export * from './limits/upload_budget.js';
export * from './limits/turn_queue.js';
