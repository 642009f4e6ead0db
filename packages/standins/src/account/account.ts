import type {ControlBytes} from './control_traffic.js';

/** Results of a run over a fleet; fields mean the same in all benches. */
export interface Account {
  readonly requests: number;
  /** Reported complete, and the answer was the request's complete own one. */
  readonly complete: number;
  /** Reported failed, or the connection ended without an outcome. */
  readonly failed: number;
  /** Reported unknown: the request may have run. */
  readonly unknown: number;
  /** Reported not-run. */
  readonly told_not_run: number;
  /** Reported complete, but truncated, duplicated or another's answer. */
  readonly incomplete: number;
  /** Reported not-run, yet a backend server has a record of a run. */
  readonly executed_though_told_not_run: number;
  /** Non-repeatable work that ran more than once. */
  readonly executed_twice: number;
  /** Chat requests that ran and were not the first of their chat. */
  readonly returns: number;
  /** Returns whose context was still cached, by the engines' records. */
  readonly warm_returns: number;
  /** Load skew: busiest engine over the mean; 0 without a sample. */
  readonly skew_max_over_mean: number;
  readonly control_bytes_per_second_per_daemon: number;
  /** Control bytes a second for each daemon, by the kind of traffic. */
  readonly control_bytes_by_kind: ControlBytes;
}
