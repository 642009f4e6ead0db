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
  readonly priority: number;
  /** When the final answer is due, on the monotonic clock. */
  readonly dueAtMs: number;
  /** Hash of API key, host, target and body; equal for a repeated request. */
  readonly fingerprint: string;
  readonly trace: CallTrace;
}

/** Progress of a request, for its log line. */
export interface CallTrace {
  /** Ids of the servers that the request was sent to, in order. */
  attempts: string[];
  /** Whether any server may have executed the request. */
  mayHaveRun: boolean;
  /** Reason for the choice of engine; empty for requests without a prompt. */
  placement: string;
  /** When a stream's first event was relayed, on the monotonic clock. */
  firstEventAtMs?: number;
  /** Longest pause between two stream events, in milliseconds. */
  longestPauseMs?: number;
}
