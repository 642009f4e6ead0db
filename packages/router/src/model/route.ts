import type {CallKind} from './call_kind.js';
import type {ServiceShare} from './service_share.js';

/** One route of the configuration. */
export interface Route {
  readonly name: string;
  /** Host name, without a port. */
  readonly host: string;
  /** Begins and ends with a slash; the longest matching prefix wins. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** At least one service; requests are split by weight. */
  readonly services: readonly ServiceShare[];
  /** Maximum time until the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective in milliseconds; for streams, to the first event. */
  readonly objectiveMs: number;
  /**
   * Objective, not a limit, for the longest pause between two stream events, in
   * milliseconds; undefined when the route sets none.
   */
  readonly maxEventGapMs?: number;
  /**
   * Maximum number of backend servers that may have run one request. Attempts
   * that certainly did not run it are not counted.
   */
  readonly maxAttempts: number;
  /** Priority from 0 to 9; 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests are accepted without a customer's API key. */
  readonly isPublic: boolean;
  /** Whether a stream may be resumed after the last event received. */
  readonly isResumable: boolean;
}
