import type {ControlBytes} from './control_traffic.js';

/** What a run over a fleet came to; the fields mean the same in every bench. */
export interface Account {
  readonly requests: number;
  /** Told complete, and whole and the request's own. */
  readonly complete: number;
  /** Told failed, or cut before anything was told. */
  readonly failed: number;
  /** Told unknown. */
  readonly unknown: number;
  /** Told not-run. */
  readonly told_not_run: number;
  /** Looked complete but was short, doubled or another's. */
  readonly incomplete: number;
  /** Told not-run, yet a backend server has a record of it. */
  readonly executed_though_told_not_run: number;
  /** Non-repeatable work that ran more than once. */
  readonly executed_twice: number;
  /** Chat requests that came back to an earlier chat. */
  readonly returns: number;
  /** Returns that found their context cached, by the engines' own record. */
  readonly warm_returns: number;
  readonly skew_max_over_mean: number;
  readonly control_bytes_per_second_per_daemon: number;
  /** The same by what the bytes are for. */
  readonly control_bytes_by_kind: ControlBytes;
}
