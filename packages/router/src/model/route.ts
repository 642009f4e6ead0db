import type {CallKind} from './call_kind.js';
import type {ServiceShare} from './service_share.js';

/** One route of the configuration. */
export interface Route {
  readonly name: string;
  /** Host name, without a port. */
  readonly host: string;
  /** Begins and ends with a slash; the longest that matches is taken. */
  readonly pathPrefix: string;
  readonly kind: CallKind;
  /** At least one; requests are split by weight. */
  readonly services: readonly ServiceShare[];
  /** Longest time until the final answer, in milliseconds. */
  readonly timeoutMs: number;
  /** Latency objective, in milliseconds; of a stream, to its first event. */
  readonly objectiveMs: number;
  /** Longest pause between events within the objective, in milliseconds. */
  readonly maxEventGapMs?: number;
  /** Most backend servers that one request may be sent to. */
  readonly maxAttempts: number;
  /** 0 is the most urgent. */
  readonly priority: number;
  /** Whether requests need no customer's key. */
  readonly isPublic: boolean;
  /** Whether a stream may be resumed after its last event. */
  readonly isResumable: boolean;
}
