import type {PositionedPart} from '@greengagecross/decisions';
import type {HttpExchange} from '@greengagecross/http';
import type {ClientCall} from '../model/client_call.js';
import type {Route} from '../model/route.js';

/** An admitted request with all data needed for its dispatch. */
export interface CallJob {
  readonly exchange: HttpExchange;
  readonly call: ClientCall;
  readonly body: Buffer;
  readonly route: Route;
  readonly service: string;
  /** Name of the customer; undefined when no API key is required. */
  readonly customer: string | undefined;
  /** Priority from 0 to 9; 0 is the most urgent. */
  readonly priority: number;
  /** When the final answer is due, on the monotonic clock. */
  readonly dueAtMs: number;
  /** What a crash under the request may be attributed to; see `listSuspects`. */
  readonly suspects: readonly PositionedPart[];
  readonly trace: CallTrace;
}

/** Which attempt answered a request that was hedged. */
export enum HedgeResult {
  OPEN = 'open',
  WON = 'won',
  LOST = 'lost',
  /** Neither attempt gave a valid answer. */
  FAILED = 'failed',
}

/** Progress of a request, for its log line. */
export interface CallTrace {
  /** Ids of the servers tried, in order, including unreachable servers. */
  attempts: string[];
  /** Whether any server may have run the request. */
  mayHaveRun: boolean;
  /**
   * Reason, rank, load, subject and cache source of the last choice of engine;
   * empty for requests without a prompt.
   */
  placement: string;
  /** Whether hedging was on for the request; undefined before its dispatch. */
  isHedgingOn?: boolean;
  /** Which attempt answered a hedged request; `open` until one has. */
  hedge?: HedgeResult;
  /** How cold servers affected the last choice; absent if they did not. */
  cold?: string;
  /** When a stream's first event was relayed, on the monotonic clock. */
  firstEventAtMs?: number;
  /** Longest pause between two stream events, in milliseconds. */
  longestPauseMs?: number;
}
